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
	func(bound granitehoist.Tokens, end endVerdict, fleet fleetView, expected waitVerdict) {
		Expect(judgeWait(bound, end, fleet, 10)).To(Equal(expected))
	},
	Entry("waits on if nothing was reported", granitehoist.Tokens(1_000_000), endAllows, fleetView{}, waitVerdict{}),
	Entry("waits on for what the store has", granitehoist.Tokens(60), endAllows, recordSays(50, 30), waitVerdict{}),
	Entry("is told scarce if others have what the store lacks", granitehoist.Tokens(61), endAllows, recordSays(50, 30), waitVerdict{ends: true, outcome: Scarce}),
	Entry("is told exhausted if all together have too few", granitehoist.Tokens(91), endAllows, recordSays(50, 30), waitVerdict{ends: true, outcome: Exhausted}),
	Entry("waits on for what a lender says is idle elsewhere", granitehoist.Tokens(90), endAllows, lenderSays(50, 80), waitVerdict{}),
	Entry("is told exhausted by a lender's report", granitehoist.Tokens(91), endAllows, lenderSays(50, 80), waitVerdict{ends: true, outcome: Exhausted}),
	Entry("is withheld at the end", granitehoist.Tokens(20), aboveMean, recordSays(50, 30), waitVerdict{ends: true, outcome: Withheld}),
	Entry("is told exhausted rather than withheld", granitehoist.Tokens(91), aboveShare, recordSays(50, 30), waitVerdict{ends: true, outcome: Exhausted}),
)

// recordSays is what a router knows that read the record a second ago.
func recordSays(remaining, idleElsewhere granitehoist.Tokens) fleetView {
	return fleetView{record: recordView{remaining: remaining, idleElsewhere: idleElsewhere, readAt: ago(time.Second), valid: true}}
}

// lenderSays is the same with a newer report of a lender.
func lenderSays(remaining, left granitehoist.Tokens) fleetView {
	v := recordSays(1, 1)
	v.lender = lenderView{remaining: remaining, left: left, at: at, valid: true}
	return v
}

var _ = DescribeTable("A wait that nothing answered",
	func(answeredAgo time.Duration, expected Outcome) {
		Expect(judgeTimeout(ago(answeredAgo), at)).To(Equal(expected))
	},
	Entry("is scarce if the store answered of late", 100*time.Millisecond, Scarce),
	Entry("is unreachable if not", 101*time.Millisecond, Unreachable),
)
