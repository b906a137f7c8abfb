// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A request that waits",
	func(bound granitehoist.Tokens, end endDecision, fleet fleetView, expected waitDecision) {
		Expect(decideWait(bound, end, fleet, 10)).To(Equal(expected))
	},
	Entry("waits on if nothing was reported", granitehoist.Tokens(1_000_000), endAllowed, fleetView{}, waitDecision{}),
	Entry("waits on for what the store has", granitehoist.Tokens(60), endAllowed, viewFromRecord(50, 30), waitDecision{}),
	Entry("is told scarce if others have what the store lacks", granitehoist.Tokens(61), endAllowed, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Scarce}),
	Entry("is told exhausted if all together have too few", granitehoist.Tokens(91), endAllowed, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Exhausted}),
	Entry("waits on for what a lender says is idle elsewhere", granitehoist.Tokens(90), endAllowed, viewFromLender(50, 80), waitDecision{}),
	Entry("is told exhausted by a lender's report", granitehoist.Tokens(91), endAllowed, viewFromLender(50, 80), waitDecision{ends: true, outcome: Exhausted}),
	Entry("is withheld at the end", granitehoist.Tokens(20), aboveMean, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Withheld}),
	Entry("is told exhausted rather than withheld", granitehoist.Tokens(91), aboveMaxFraction, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Exhausted}),
)

// viewFromRecord is what a router knows that read the record a second ago.
func viewFromRecord(remaining, idleElsewhere granitehoist.Tokens) fleetView {
	return fleetView{record: recordView{remaining: remaining, idleElsewhere: idleElsewhere, readAt: ago(time.Second), valid: true}}
}

// viewFromLender is the same with a newer report of a lender.
func viewFromLender(remaining, total granitehoist.Tokens) fleetView {
	v := viewFromRecord(1, 1)
	v.lender = lenderView{remaining: remaining, totalRemaining: total, at: testNow, valid: true}
	return v
}

var _ = DescribeTable("A wait that nothing answered",
	func(answeredAgo time.Duration, expected Outcome) {
		Expect(timeoutOutcome(ago(answeredAgo), testNow)).To(Equal(expected))
	},
	Entry("is scarce if the store answered of late", 100*time.Millisecond, Scarce),
	Entry("is unreachable if not", 101*time.Millisecond, Unreachable),
)
