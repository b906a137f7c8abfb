// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

// repeatable returns a route whose requests may run at two upstreams.
func repeatable(kind catalog.RouteKind, target time.Duration) *catalog.Route {
	return &catalog.Route{Kind: kind, Resume: true, MaxAttempts: 2, TargetLatency: target}
}

var _ = ginkgo.DescribeTable("A stalled attempt is cancelled",
	func(r *catalog.Route, prompt granitehoist.Tokens, runs int, want stallLimits) {
		Expect(stallLimitsFor(r, prompt, runs)).To(Equal(want))
	},
	ginkgo.Entry("never if a request runs at most once",
		&catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 2, TargetLatency: time.Second}, granitehoist.Tokens(0), 0, stallLimits{}),
	ginkgo.Entry("never if a stream may not be resumed",
		&catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, TargetLatency: time.Second}, granitehoist.Tokens(0), 0, stallLimits{}),
	ginkgo.Entry("never if the route sets no maximum of attempts",
		&catalog.Route{Kind: catalog.Safe, TargetLatency: time.Second}, granitehoist.Tokens(0), 0, stallLimits{}),
	ginkgo.Entry("never if the route has no target",
		repeatable(catalog.Safe, 0), granitehoist.Tokens(0), 0, stallLimits{}),
	ginkgo.Entry("never in the last attempt that the route allows",
		repeatable(catalog.Safe, time.Second), granitehoist.Tokens(0), 1, stallLimits{}),
	ginkgo.Entry("after twice the target if it is not a stream",
		repeatable(catalog.Safe, time.Second), granitehoist.Tokens(1200), 0, stallLimits{first: 2 * time.Second}),
	ginkgo.Entry("after 55 % of the target and 0.9 s between events if it is a stream",
		repeatable(catalog.Stream, time.Second), granitehoist.Tokens(0), 0,
		stallLimits{first: 550 * time.Millisecond, gap: 900 * time.Millisecond}),
	ginkgo.Entry("after 150 ms if the target of a stream is short",
		repeatable(catalog.Stream, 100*time.Millisecond), granitehoist.Tokens(0), 0,
		stallLimits{first: 150 * time.Millisecond, gap: 900 * time.Millisecond}),
	ginkgo.Entry("one millisecond later per 12 prompt tokens",
		repeatable(catalog.Stream, time.Second), granitehoist.Tokens(1211), 0,
		stallLimits{first: 650 * time.Millisecond, gap: 900 * time.Millisecond}),
)
