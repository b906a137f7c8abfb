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
		Entry("immediately, by any request", time.Duration(0), time.Duration(0), time.Duration(0), true),
		Entry("up to the maximum idle time of the request", time.Duration(0), short, short, true),
		Entry("not beyond the maximum idle time of the request", time.Duration(0), short+1, short, false),
		Entry("not beyond the timeout of the pool", time.Duration(0), timeout, time.Hour, false),
		Entry("up to the keep-alive timeout of its upstream, whatever the request allows", 2*time.Second, 2*time.Second-1, short, true),
		Entry("not beyond the keep-alive timeout of its upstream", 2*time.Second, 2*time.Second, time.Hour, false),
		Entry("not beyond the timeout of the pool, whatever the upstream sent", time.Hour, timeout, time.Hour, false),
	)

	DescribeTable("has the keep-alive timeout",
		func(value string, expected time.Duration) {
			Expect(keepAlive(http.Header{"Keep-Alive": {value}})).To(Equal(expected))
		},
		Entry("zero without a value", "", time.Duration(0)),
		Entry("of the header less the margin", "timeout=5", 4600*time.Millisecond),
		Entry("of the header among other parameters", "max=100, Timeout=1", 600*time.Millisecond),
		Entry("zero if it is not a number", "timeout=soon", time.Duration(0)),
		Entry("zero if it is a fraction", "timeout=1.5", time.Duration(0)),
		Entry("zero if it is zero", "timeout=0", time.Duration(0)),
		Entry("zero if it is negative", "timeout=-1", time.Duration(0)),
	)
})
