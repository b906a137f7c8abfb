// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("A syncer's next step",
	func(r round, expected step) {
		Expect(r.next()).To(Equal(expected))
	},
	Entry("is none if nothing is needed", round{}, stepNothing),
	Entry("is none if nothing is needed during a backoff", round{backingOff: true}, stepNothing),
	Entry("is a sync if something is needed", round{needed: true}, stepSync),
	Entry("is to borrow during a backoff", round{needed: true, backingOff: true}, stepBorrow),
)

var _ = DescribeTable("The timeout of a call to the store",
	func(failures int, reached bool, full, expected time.Duration) {
		Expect(callTimeout(failures, reached, full)).To(Equal(expected))
	},
	Entry("is full while the store responds", 0, true, DefaultTimeout, DefaultTimeout),
	Entry("is short at the start", 0, false, DefaultTimeout, probeTimeout),
	Entry("is short after a failure", 1, true, DefaultTimeout, probeTimeout),
	Entry("is full for each fourth attempt", 4, true, DefaultTimeout, DefaultTimeout),
	Entry("is full for each fourth attempt also if the store has never responded", 8, false, DefaultTimeout, DefaultTimeout),
	Entry("never exceeds the full timeout", 1, true, 200*time.Millisecond, 200*time.Millisecond),
)

var _ = Describe("The backoff after failed syncs", func() {
	It("doubles up to its bound", func() {
		m := loopState{backoff: initialBackoff}
		m.syncFailed(testNow)
		Expect(m).To(Equal(loopState{retryAt: testNow.Add(150 * time.Millisecond), backoff: 300 * time.Millisecond}))
		m.syncFailed(testNow)
		Expect(m).To(Equal(loopState{retryAt: testNow.Add(300 * time.Millisecond), backoff: 300 * time.Millisecond}))
	})
})
