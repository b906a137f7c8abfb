// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("isUnresponsive", func() {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

	DescribeTable("reports a router that neither reports nor stopped gracefully",
		func(age time.Duration, closed, want bool) {
			Expect(lastSeen{at: now.Add(-age).Unix(), closed: closed}.isUnresponsive(now)).To(Equal(want))
		},
		Entry("reported now", time.Duration(0), false, false),
		Entry("at UnresponsiveTimeout", UnresponsiveTimeout, false, false),
		Entry("after UnresponsiveTimeout", UnresponsiveTimeout+time.Second, false, true),
		Entry("stopped gracefully", time.Hour, true, false),
	)
})

var _ = Describe("classifyAttempt", func() {
	cost := granitehoist.Usage{Prompt: 2, Output: 1, Reported: true}

	DescribeTable("returns the billing status of an attempt",
		func(a granitehoist.KnownAttempt, charged bool, want attemptStatus) {
			Expect(classifyAttempt(a, charged)).To(Equal(want))
		},
		Entry("ended", granitehoist.KnownAttempt{Ended: true, Usage: cost}, false, uncharged),
		Entry("ended and in a bill segment", granitehoist.KnownAttempt{Ended: true, Usage: cost}, true, alreadyCharged),
		Entry("still running", granitehoist.KnownAttempt{Usage: cost}, false, stillRunning),
		Entry("ended without reported usage", granitehoist.KnownAttempt{Ended: true}, false, stillRunning),
		Entry("stopped before it reached the engine", granitehoist.KnownAttempt{Ended: true, Usage: granitehoist.Usage{Reported: true}}, false, neverReceived),
	)
})
