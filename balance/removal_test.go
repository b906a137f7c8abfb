// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An instance whose announcement was removed", func() {
	DescribeTable("is usable, and can be deleted",
		func(since time.Duration, inFlight int, usable, forgotten bool) {
			Expect(usableAfterRemoval(testTime.Add(-since), testTime)).To(Equal(usable))
			Expect(canForget(testTime.Add(-since), inFlight, testTime)).To(Equal(forgotten))
		},
		Entry("immediately", time.Duration(0), 0, true, false),
		Entry("just before the grace period ends", removedGrace-1, 0, true, false),
		Entry("when the grace period ends", removedGrace, 0, false, true),
		Entry("after the grace period with an attempt in progress", time.Hour, 1, false, false),
	)

	It("is never deleted while it is announced", func() {
		Expect(canForget(time.Time{}, 0, testTime)).To(BeFalse())
	})
})
