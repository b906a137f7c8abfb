// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

// testNow is the present time of the rules' tests.
var testNow = time.Unix(1000, 0)

// ago returns a time before at.
func ago(d time.Duration) time.Time { return testNow.Add(-d) }

var _ = DescribeTable("A reservation",
	func(free, bound, reserve granitehoist.Tokens, expected admission) {
		Expect(admit(free, bound, reserve)).To(Equal(expected))
	},
	Entry("of all that is free", granitehoist.Tokens(100), granitehoist.Tokens(100), granitehoist.Tokens(0), admitted),
	Entry("of more than is free", granitehoist.Tokens(100), granitehoist.Tokens(101), granitehoist.Tokens(0), insufficientFree),
	Entry("that leaves what is reserved for urgent requests", granitehoist.Tokens(100), granitehoist.Tokens(70), granitehoist.Tokens(30), admitted),
	Entry("that would take of it", granitehoist.Tokens(100), granitehoist.Tokens(71), granitehoist.Tokens(30), heldForPriority),
	Entry("of nothing", granitehoist.Tokens(0), granitehoist.Tokens(0), granitehoist.Tokens(0), admitted),
	Entry("of nothing while tokens are owed", granitehoist.Tokens(-1), granitehoist.Tokens(0), granitehoist.Tokens(0), insufficientFree),
)

var _ = DescribeTable("What is reserved for urgent requests",
	func(steps int, silentFor time.Duration, expected granitehoist.Tokens) {
		highest := granitehoist.MaxPriority
		left := outageRemaining(ago(silentFor), testNow)
		Expect(priorityReserve(highest-granitehoist.Priority(steps), highest, 1000, left)).To(Equal(expected))
	},
	Entry("is nothing for the most urgent", 0, time.Duration(0), granitehoist.Tokens(0)),
	Entry("is nothing for one above all before it", -1, time.Duration(0), granitehoist.Tokens(0)),
	Entry("is 30 % for each step", 2, time.Duration(0), granitehoist.Tokens(600)),
	Entry("is the whole holding for many steps", 4, time.Duration(0), granitehoist.Tokens(1000)),
	Entry("fades", 2, 5*time.Second, granitehoist.Tokens(300)),
	Entry("is nothing after an expected outage", 2, 10*time.Second, granitehoist.Tokens(0)),
)

var _ = Describe("What is left of an expected outage", func() {
	It("is nothing while the store answers", func() {
		Expect(outageRemaining(time.Time{}, testNow)).To(BeZero())
	})
})
