// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Contact with the store", func() {
	failedFor := func(d time.Duration) contact {
		var c contact
		c.answeredDirectly(ago(d))
		c.failed(ago(d))
		c.failed(at)
		return c
	}

	It("is not lost before a call has failed", func() {
		var c contact
		Expect(c.isSilent()).To(BeFalse())
		Expect(c.silence(at)).To(BeZero())
		Expect(c.cutOffTime(at)).To(BeZero())
	})

	It("is lost from the first failed call on", func() {
		c := failedFor(3 * time.Second)
		Expect(c.isSilent()).To(BeTrue())
		Expect(c.silence(at)).To(Equal(3 * time.Second))
		Expect(c.cutOffTime(at)).To(Equal(3 * time.Second))
	})

	It("ends a silence by a lender's answer, but not the cut of this router", func() {
		c := failedFor(5 * time.Second)
		c.answeredAnyone(at)
		Expect(c.silence(at)).To(BeZero())
		Expect(c.cutOffTime(at)).To(Equal(5 * time.Second))
		Expect(c.outageEnded).To(BeZero())
	})

	DescribeTable("ends an outage if it was silent for long enough",
		func(silence time.Duration, outage bool) {
			c := failedFor(silence)
			c.answeredThroughLender(at)
			Expect(c.outageEnded.Equal(at)).To(Equal(outage))
			Expect(c.cutOffTime(at)).To(BeZero())
		},
		Entry("4 s", 4*time.Second, true),
		Entry("less", 3999*time.Millisecond, false),
	)

	DescribeTable("counts a neighbour's outage as its own",
		func(own contact, cut time.Duration, outage bool) {
			own.noteNeighbourCutOff(cut, at)
			Expect(own.outageEnded.Equal(at)).To(Equal(outage))
		},
		Entry("if the store answers here", contact{}, 4*time.Second, true),
		Entry("not if it was short", contact{}, time.Second, false),
		Entry("not while the store is silent here too", contact{cutOffSince: ago(time.Second)}, 4*time.Second, false),
	)

	DescribeTable("is close enough to report to borrowers",
		func(c contact, expected bool) {
			Expect(c.isInTouch(at)).To(Equal(expected))
		},
		Entry("3 s after an answer", contact{lastDirectAnswer: ago(3 * time.Second)}, true),
		Entry("not later", contact{lastDirectAnswer: ago(3*time.Second + 1)}, false),
		Entry("not after a failed call", contact{lastDirectAnswer: at, silentSince: at}, false),
	)
})

var _ = DescribeTable("The part of a prepaid total that all routers may hold",
	func(outageEnded time.Time, expected float64) {
		Expect(exposedPart(outageEnded, at)).To(BeNumerically("~", expected, 1e-9))
	},
	Entry("is all of it without an outage", time.Time{}, 1.0),
	Entry("is 0.8 % right after one", at, 0.008),
	Entry("stays there for 4 s", ago(4*time.Second), 0.008),
	Entry("grows to the usual half", ago(6500*time.Millisecond), 0.254),
	Entry("is all of it from 9 s on", ago(9*time.Second), 1.0),
)

var _ = DescribeTable("A record that was read",
	func(since time.Duration, old bool) {
		Expect(isRecordOld(ago(since), at)).To(Equal(old))
	},
	Entry("2 s ago is not old", 2*time.Second, false),
	Entry("before that is old", 2*time.Second+1, true),
)
