// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

// testNow is the present time in tests of the policies.
var testNow = time.Unix(1000, 0)

// ago returns a time before testNow.
func ago(d time.Duration) time.Time { return testNow.Add(-d) }

var _ = DescribeTable("A reservation",
	func(free, maxCost, reserve granitehoist.Tokens, expected admission) {
		Expect(admit(free, maxCost, reserve)).To(Equal(expected))
	},
	Entry("of all that is free", granitehoist.Tokens(100), granitehoist.Tokens(100), granitehoist.Tokens(0), admitted),
	Entry("of more than is free", granitehoist.Tokens(100), granitehoist.Tokens(101), granitehoist.Tokens(0), insufficientFree),
	Entry("that leaves the reserve for higher priorities", granitehoist.Tokens(100), granitehoist.Tokens(70), granitehoist.Tokens(30), admitted),
	Entry("that would use part of the reserve", granitehoist.Tokens(100), granitehoist.Tokens(71), granitehoist.Tokens(30), reservedForPriority),
	Entry("of nothing", granitehoist.Tokens(0), granitehoist.Tokens(0), granitehoist.Tokens(0), admitted),
	Entry("of nothing while unreserved tokens are negative", granitehoist.Tokens(-1), granitehoist.Tokens(0), granitehoist.Tokens(0), insufficientFree),
)

var _ = DescribeTable("The reserve for requests of higher priority",
	func(levels int, unresponsiveFor time.Duration, expected granitehoist.Tokens) {
		highest := granitehoist.MaxPriority
		fraction := outageRemaining(ago(unresponsiveFor), testNow)
		Expect(priorityReserve(highest-granitehoist.Priority(levels), highest, 1000, fraction)).To(Equal(expected))
	},
	Entry("is zero for the highest priority", 0, time.Duration(0), granitehoist.Tokens(0)),
	Entry("is zero for a priority above all seen so far", -1, time.Duration(0), granitehoist.Tokens(0)),
	Entry("is 30 % for each level", 2, time.Duration(0), granitehoist.Tokens(600)),
	Entry("is the whole target for many levels", 4, time.Duration(0), granitehoist.Tokens(1000)),
	Entry("decreases during an outage", 2, 5*time.Second, granitehoist.Tokens(300)),
	Entry("is zero after an expected outage", 2, 10*time.Second, granitehoist.Tokens(0)),
)

var _ = Describe("The remaining fraction of an expected outage", func() {
	It("is zero while the store responds", func() {
		Expect(outageRemaining(time.Time{}, testNow)).To(BeZero())
	})
})
