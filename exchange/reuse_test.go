// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An idle connection", func() {
	now := time.Unix(1000, 0)
	const (
		timeout = 4 * time.Second
		short   = 150 * time.Millisecond
	)

	DescribeTable("may be reused",
		func(keepAlive, idle, maxIdle time.Duration, expected bool) {
			period := newIdlePeriod(keepAlive, timeout, now)
			Expect(period.reusable(maxIdle, now.Add(idle))).To(Equal(expected))
		},
		Entry("at once, by any request", time.Duration(0), time.Duration(0), time.Duration(0), true),
		Entry("for as long as the request allows", time.Duration(0), short, short, true),
		Entry("no longer than the request allows", time.Duration(0), short+1, short, false),
		Entry("no longer than the pool's timeout", time.Duration(0), timeout, time.Hour, false),
		Entry("for as long as its upstream reported, whatever the request allows", 2*time.Second, 2*time.Second-1, short, true),
		Entry("no longer than its upstream reported", 2*time.Second, 2*time.Second, time.Hour, false),
		Entry("no longer than the pool's timeout, whatever the upstream reported", time.Hour, timeout, time.Hour, false),
	)

	DescribeTable("is kept by its upstream for",
		func(value string, expected time.Duration) {
			Expect(keepAlive(http.Header{"Keep-Alive": {value}})).To(Equal(expected))
		},
		Entry("an unknown time without a value", "", time.Duration(0)),
		Entry("the time less the margin", "timeout=5", 4600*time.Millisecond),
		Entry("the time among other parameters", "max=100, Timeout=1", 600*time.Millisecond),
		Entry("an unknown time if it is not a number", "timeout=soon", time.Duration(0)),
		Entry("an unknown time if it is a fraction", "timeout=1.5", time.Duration(0)),
		Entry("an unknown time if it is zero", "timeout=0", time.Duration(0)),
		Entry("an unknown time if it is negative", "timeout=-1", time.Duration(0)),
	)
})
