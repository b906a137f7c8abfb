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
	Entry("of a writer that needs nothing is none", round{writes: true}, stepNothing),
	Entry("of a writer is a sync", round{needed: true, writes: true}, stepSync),
	Entry("of a writer whose store has just failed is to ask neighbours", round{needed: true, writes: true, pausing: true}, stepBorrow),
	Entry("of another that needs nothing is to give back", round{}, stepRepay),
	Entry("of another is to ask relays", round{needed: true}, stepAskRelays),
	Entry("of another is to ask relays though they failed before", round{needed: true, relayFailures: 9}, stepAskRelays),
	Entry("after relays helped is to ask neighbours", round{needed: true, relays: relaysHelped, relayFailures: 9}, stepBorrow),
	Entry("after relays failed is to wait", round{needed: true, relays: relaysFailed, relayFailures: 2}, stepCountFailure),
	Entry("after they failed for the fourth time is a sync", round{needed: true, relays: relaysFailed, relayFailures: 3}, stepSync),
	Entry("then is to ask neighbours if the store has just failed", round{needed: true, relays: relaysFailed, relayFailures: 3, pausing: true}, stepBorrow),
)

var _ = DescribeTable("A call to the store",
	func(failures int, reached bool, full, expected time.Duration) {
		Expect(callTimeout(failures, reached, full)).To(Equal(expected))
	},
	Entry("has the full time while the store answers", 0, true, DefaultTimeout, DefaultTimeout),
	Entry("is short at the start", 0, false, DefaultTimeout, probeTimeout),
	Entry("is short after a failure", 1, true, DefaultTimeout, probeTimeout),
	Entry("has the full time for each fourth try", 4, true, DefaultTimeout, DefaultTimeout),
	Entry("has it also if the store has never answered", 8, false, DefaultTimeout, DefaultTimeout),
	Entry("is never longer than the full time", 1, true, 200*time.Millisecond, 200*time.Millisecond),
)

var _ = Describe("The pause after failed syncs", func() {
	It("doubles up to its bound", func() {
		m := loopState{nextPause: failurePause}
		m.syncFailed(at)
		Expect(m).To(Equal(loopState{retryAt: at.Add(150 * time.Millisecond), nextPause: 300 * time.Millisecond}))
		m.syncFailed(at)
		Expect(m).To(Equal(loopState{retryAt: at.Add(300 * time.Millisecond), nextPause: 300 * time.Millisecond}))
	})
})
