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
	func(maxCost granitehoist.Tokens, decision lowBudgetDecision, fleet fleetView, expected waitDecision) {
		Expect(decideWait(maxCost, decision, fleet, 10)).To(Equal(expected))
	},
	Entry("goes on waiting without a report", granitehoist.Tokens(1_000_000), lowBudgetAllowed, fleetView{}, waitDecision{}),
	Entry("goes on waiting for tokens of the store", granitehoist.Tokens(60), lowBudgetAllowed, viewFromRecord(50, 30), waitDecision{}),
	Entry("ends as scarce if others have what the store lacks", granitehoist.Tokens(61), lowBudgetAllowed, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Scarce}),
	Entry("ends as exhausted if all together have too few", granitehoist.Tokens(91), lowBudgetAllowed, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Exhausted}),
	Entry("goes on waiting for idle tokens that a lender reports", granitehoist.Tokens(90), lowBudgetAllowed, viewFromLender(50, 80), waitDecision{}),
	Entry("ends as exhausted by a lender's report", granitehoist.Tokens(91), lowBudgetAllowed, viewFromLender(50, 80), waitDecision{ends: true, outcome: Exhausted}),
	Entry("is withheld near the end of a budget", granitehoist.Tokens(20), aboveMeanCost, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Withheld}),
	Entry("ends as exhausted rather than withheld", granitehoist.Tokens(91), aboveMaxFraction, viewFromRecord(50, 30), waitDecision{ends: true, outcome: Exhausted}),
)

// viewFromRecord returns the view of a router that read the record a second ago.
func viewFromRecord(remaining, idleOfOthers granitehoist.Tokens) fleetView {
	return fleetView{record: recordView{remaining: remaining, idleOfOthers: idleOfOthers, readAt: ago(time.Second), valid: true}}
}

// viewFromLender returns the same view with a newer report of a lender.
func viewFromLender(remaining, total granitehoist.Tokens) fleetView {
	v := viewFromRecord(1, 1)
	v.lender = lenderView{remaining: remaining, totalRemaining: total, at: testNow, valid: true}
	return v
}

var _ = DescribeTable("A wait that times out",
	func(respondedAgo time.Duration, expected Outcome) {
		Expect(timeoutOutcome(ago(respondedAgo), testNow)).To(Equal(expected))
	},
	Entry("is scarce if the store responded recently", 100*time.Millisecond, Scarce),
	Entry("is unreachable otherwise", 101*time.Millisecond, Unreachable),
)
