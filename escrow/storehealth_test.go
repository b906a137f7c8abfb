// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The health of the store", func() {
	failedFor := func(d time.Duration) storeHealth {
		var h storeHealth
		h.noteDirectResponse(ago(d))
		h.noteFailure(ago(d))
		h.noteFailure(testNow)
		return h
	}

	It("is good before a call has failed", func() {
		var h storeHealth
		Expect(h.isUnresponsive()).To(BeFalse())
		Expect(h.unresponsiveFor(testNow)).To(BeZero())
		Expect(h.unreachableFor(testNow)).To(BeZero())
	})

	It("is unresponsive from the first failed call on", func() {
		h := failedFor(3 * time.Second)
		Expect(h.isUnresponsive()).To(BeTrue())
		Expect(h.unresponsiveFor(testNow)).To(Equal(3 * time.Second))
		Expect(h.unreachableFor(testNow)).To(Equal(3 * time.Second))
	})

	It("is restored by a lender's response, while this router still can't reach the store", func() {
		h := failedFor(5 * time.Second)
		h.noteResponse(testNow)
		Expect(h.unresponsiveFor(testNow)).To(BeZero())
		Expect(h.unreachableFor(testNow)).To(Equal(5 * time.Second))
		Expect(h.outageEnded).To(BeZero())
	})

	DescribeTable("counts an outage if it was unresponsive for long enough",
		func(unresponsive time.Duration, ended bool) {
			h := failedFor(unresponsive)
			h.noteHolderResponse(testNow)
			Expect(h.outageEnded.Equal(testNow)).To(Equal(ended))
			Expect(h.unreachableFor(testNow)).To(BeZero())
		},
		Entry("4 s", 4*time.Second, true),
		Entry("less", 3999*time.Millisecond, false),
	)

	DescribeTable("counts a neighbour's outage",
		func(h storeHealth, unreachableFor time.Duration, ended bool) {
			h.noteNeighbourUnreachableFor(unreachableFor, testNow)
			Expect(h.outageEnded.Equal(testNow)).To(Equal(ended))
		},
		Entry("if the store responds here", storeHealth{}, 4*time.Second, true),
		Entry("not if it was short", storeHealth{}, time.Second, false),
		Entry("not while the store is unresponsive here too", storeHealth{unreachableSince: ago(time.Second)}, 4*time.Second, false),
	)

	DescribeTable("is recent enough to report to borrowers",
		func(h storeHealth, expected bool) {
			Expect(h.isConnected(testNow)).To(Equal(expected))
		},
		Entry("3 s after a response", storeHealth{lastDirectResponse: ago(3 * time.Second)}, true),
		Entry("not later", storeHealth{lastDirectResponse: ago(3*time.Second + 1)}, false),
		Entry("not after a failed call", storeHealth{lastDirectResponse: testNow, unresponsiveSince: testNow}, false),
	)
})

var _ = DescribeTable("The fraction of a prepaid total that all routers may hold",
	func(outageEnded time.Time, expected float64) {
		Expect(postOutageHeldFraction(outageEnded, testNow)).To(BeNumerically("~", expected, 1e-9))
	},
	Entry("is all of it without an outage", time.Time{}, 1.0),
	Entry("is 0.8 % right after an outage", testNow, 0.008),
	Entry("stays there for 4 s", ago(4*time.Second), 0.008),
	Entry("grows to the usual half", ago(6500*time.Millisecond), 0.254),
	Entry("is all of it from 9 s on", ago(9*time.Second), 1.0),
)

var _ = DescribeTable("A record that was read",
	func(since time.Duration, old bool) {
		Expect(isRecordStale(ago(since), testNow)).To(Equal(old))
	},
	Entry("2 s ago is not stale", 2*time.Second, false),
	Entry("before that is stale", 2*time.Second+1, true),
)
