// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("isSilent", func() {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

	DescribeTable("decides whether another router charges",
		func(age time.Duration, closed, want bool) {
			Expect(lastSeen{at: now.Add(-age).Unix(), closed: closed}.isSilent(now)).To(Equal(want))
		},
		Entry("reported just now", time.Duration(0), false, false),
		Entry("at the bound", SilentAfter, false, false),
		Entry("beyond the bound", SilentAfter+time.Second, false, true),
		Entry("stopped in good order", time.Hour, true, false),
	)
})

var _ = Describe("decide", func() {
	cost := granitehoist.Usage{Prompt: 2, Output: 1, Reported: true}

	DescribeTable("decides what becomes of an attempt",
		func(a granitehoist.KnownAttempt, charged bool, want verdict) {
			Expect(decideVerdict(a, charged)).To(Equal(want))
		},
		Entry("ended", granitehoist.KnownAttempt{Ended: true, Usage: cost}, false, toCharge),
		Entry("ended and in a segment", granitehoist.KnownAttempt{Ended: true, Usage: cost}, true, alreadyCharged),
		Entry("still running", granitehoist.KnownAttempt{Usage: cost}, false, stillRunning),
		Entry("ended without a report", granitehoist.KnownAttempt{Ended: true}, false, stillRunning),
		Entry("stopped before it arrived", granitehoist.KnownAttempt{Ended: true, Usage: granitehoist.Usage{Reported: true}}, false, neverArrived),
	)
})
