// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"math"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

var _ = ginkgo.DescribeTable("The reservation of a request",
	func(w *catalog.Workspace, c *Cost, metered bool, target time.Duration, want reservation, wantRefusal refusal) {
		got, refused := planReservation(w, c, metered, target)
		Expect(got).To(Equal(want))
		Expect(refused).To(Equal(wantRefusal))
	},
	ginkgo.Entry("is none without a workspace",
		nil, &Cost{Prompt: 1, Output: 1}, false, time.Second, reservation{}, noRefusal),
	ginkgo.Entry("is none for a workspace without a limit",
		&catalog.Workspace{}, &Cost{Prompt: 1, Output: 1}, false, time.Second, reservation{}, noRefusal),
	ginkgo.Entry("is none for a request without tokens",
		limited(1000), nil, false, time.Second, reservation{}, noRefusal),
	ginkgo.Entry("is the maximum cost, with a wait of 12 % of the target",
		limited(1000), &Cost{Prompt: 100, Output: 200}, false, time.Second,
		reservation{needed: true, maxCost: 300, wait: 120 * time.Millisecond}, noRefusal),
	ginkgo.Entry("has a wait of 30 ms if the target is short",
		limited(1000), &Cost{Prompt: 100, Output: 200}, false, 100*time.Millisecond,
		reservation{needed: true, maxCost: 300, wait: 30 * time.Millisecond}, noRefusal),
	ginkgo.Entry("has a wait of 30 ms without a target",
		limited(1000), &Cost{Prompt: 100, Output: 200}, false, time.Duration(0),
		reservation{needed: true, maxCost: 300, wait: 30 * time.Millisecond}, noRefusal),
	ginkgo.Entry("may equal the prepaid total",
		limited(300), &Cost{Prompt: 100, Output: 200}, false, time.Second,
		reservation{needed: true, maxCost: 300, wait: 120 * time.Millisecond}, noRefusal),
	ginkgo.Entry("is refused if it exceeds the prepaid total",
		limited(299), &Cost{Prompt: 100, Output: 200}, false, time.Second,
		reservation{needed: true, maxCost: 300, wait: 120 * time.Millisecond}, largerThanBudget),
	ginkgo.Entry("is refused without a cost if the service is metered",
		limited(1000), nil, true, time.Second, reservation{}, costInvalid),
	ginkgo.Entry("is none without a cost and a limit, also if the service is metered",
		&catalog.Workspace{}, nil, true, time.Second, reservation{}, noRefusal),
	ginkgo.Entry("is refused if the sum of its parts overflows",
		limited(1000), &Cost{Prompt: math.MaxInt64, Output: math.MaxInt64}, false, time.Second, reservation{}, costInvalid),
	ginkgo.Entry("is refused if a part is negative",
		limited(1000), &Cost{Prompt: 100, Output: -1}, true, time.Second, reservation{}, costInvalid),
	ginkgo.Entry("is made for a request that costs nothing",
		limited(0), &Cost{}, false, time.Second,
		reservation{needed: true, wait: 120 * time.Millisecond}, noRefusal),
)

// limited returns a workspace with a prepaid total.
func limited(prepaid granitehoist.Tokens) *catalog.Workspace {
	return &catalog.Workspace{Limited: true, Prepaid: prepaid}
}
