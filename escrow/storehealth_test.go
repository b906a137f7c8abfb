// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Contact with the store", func() {
	failedFor := func(d time.Duration) storeHealth {
		var c storeHealth
		c.noteDirectResponse(ago(d))
		c.noteFailure(ago(d))
		c.noteFailure(testNow)
		return c
	}

	It("is not lost before a call has failed", func() {
		var c storeHealth
		Expect(c.isUnresponsive()).To(BeFalse())
		Expect(c.unresponsiveFor(testNow)).To(BeZero())
		Expect(c.cutOffTime(testNow)).To(BeZero())
	})

	It("is lost from the first failed call on", func() {
		c := failedFor(3 * time.Second)
		Expect(c.isUnresponsive()).To(BeTrue())
		Expect(c.unresponsiveFor(testNow)).To(Equal(3 * time.Second))
		Expect(c.cutOffTime(testNow)).To(Equal(3 * time.Second))
	})

	It("ends a silence by a lender's answer, but not the cut of this router", func() {
		c := failedFor(5 * time.Second)
		c.noteResponse(testNow)
		Expect(c.unresponsiveFor(testNow)).To(BeZero())
		Expect(c.cutOffTime(testNow)).To(Equal(5 * time.Second))
		Expect(c.outageEnded).To(BeZero())
	})

	DescribeTable("ends an outage if it was silent for long enough",
		func(silence time.Duration, ended bool) {
			c := failedFor(silence)
			c.noteHolderResponse(testNow)
			Expect(c.outageEnded.Equal(testNow)).To(Equal(ended))
			Expect(c.cutOffTime(testNow)).To(BeZero())
		},
		Entry("4 s", 4*time.Second, true),
		Entry("less", 3999*time.Millisecond, false),
	)

	DescribeTable("counts a neighbour's outage as its own",
		func(own storeHealth, cutOff time.Duration, ended bool) {
			own.noteNeighbourCutOff(cutOff, testNow)
			Expect(own.outageEnded.Equal(testNow)).To(Equal(ended))
		},
		Entry("if the store answers here", storeHealth{}, 4*time.Second, true),
		Entry("not if it was short", storeHealth{}, time.Second, false),
		Entry("not while the store is silent here too", storeHealth{cutOffSince: ago(time.Second)}, 4*time.Second, false),
	)

	DescribeTable("is close enough to report to borrowers",
		func(c storeHealth, expected bool) {
			Expect(c.isConnected(testNow)).To(Equal(expected))
		},
		Entry("3 s after an answer", storeHealth{lastDirectResponse: ago(3 * time.Second)}, true),
		Entry("not later", storeHealth{lastDirectResponse: ago(3*time.Second + 1)}, false),
		Entry("not after a failed call", storeHealth{lastDirectResponse: testNow, unresponsiveSince: testNow}, false),
	)
})

var _ = DescribeTable("The part of a prepaid total that all routers may hold",
	func(outageEnded time.Time, expected float64) {
		Expect(exposedFraction(outageEnded, testNow)).To(BeNumerically("~", expected, 1e-9))
	},
	Entry("is all of it without an outage", time.Time{}, 1.0),
	Entry("is 0.8 % right after one", testNow, 0.008),
	Entry("stays there for 4 s", ago(4*time.Second), 0.008),
	Entry("grows to the usual half", ago(6500*time.Millisecond), 0.254),
	Entry("is all of it from 9 s on", ago(9*time.Second), 1.0),
)

var _ = DescribeTable("A record that was read",
	func(since time.Duration, old bool) {
		Expect(isRecordStale(ago(since), testNow)).To(Equal(old))
	},
	Entry("2 s ago is not old", 2*time.Second, false),
	Entry("before that is old", 2*time.Second+1, true),
)
