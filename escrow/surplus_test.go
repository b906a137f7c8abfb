// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

// stopping returns the conditions of a router that shuts down.
func stopping() conditions {
	c := steadyState()
	c.closing = true
	return c
}

var _ = DescribeTable("The return to the store in a budget of 100,000 tokens",
	func(c conditions, r returnInputs, expected granitehoist.Tokens) {
		r.limit = 100_000
		Expect(r.tokens(c)).To(Equal(expected))
	},
	Entry("is zero up to twice the target", steadyState(), returnInputs{unreserved: 2_000, target: 1_000, remaining: 50_000}, granitehoist.Tokens(0)),
	Entry("is what exceeds the target above that", steadyState(), returnInputs{unreserved: 2_001, target: 1_000, remaining: 50_000}, granitehoist.Tokens(1_001)),
	Entry("is zero up to 1.2 times the target after an outage", afterOutage(), returnInputs{unreserved: 6_000, target: 5_000, remaining: 50_000}, granitehoist.Tokens(0)),
	Entry("is what exceeds the target above that, after an outage", afterOutage(), returnInputs{unreserved: 6_001, target: 5_000, remaining: 50_000}, granitehoist.Tokens(1_001)),
	Entry("is zero below 0.5 % of the total", steadyState(), returnInputs{unreserved: 499, target: 0, remaining: 50_000}, granitehoist.Tokens(0)),
	Entry("is as little as 0.5 % of the total", steadyState(), returnInputs{unreserved: 500, target: 0, remaining: 50_000}, granitehoist.Tokens(500)),
	Entry("may be smaller at the end of the budget", steadyState(), returnInputs{unreserved: 20, target: 0, remaining: 1_999}, granitehoist.Tokens(20)),
	Entry("is zero below 0.02 % at the end of the budget", steadyState(), returnInputs{unreserved: 19, target: 0, remaining: 1_999}, granitehoist.Tokens(0)),
	Entry("is zero while requests wait", steadyState(), returnInputs{unreserved: 9_000, target: 0, remaining: 50_000, waiting: true}, granitehoist.Tokens(0)),
	Entry("is what a reduced limit does not cover, also while requests wait", steadyState(), returnInputs{unreserved: 9_000, target: 9_000, remaining: -700, waiting: true}, granitehoist.Tokens(700)),
	Entry("is at most what is unreserved", steadyState(), returnInputs{unreserved: 600, target: 600, remaining: -700}, granitehoist.Tokens(600)),
	Entry("is everything at shutdown", stopping(), returnInputs{unreserved: 600, target: 600, remaining: 50_000, waiting: true}, granitehoist.Tokens(600)),
	Entry("is zero if the unreserved tokens are negative", stopping(), returnInputs{unreserved: -5, target: 600, remaining: 50_000}, granitehoist.Tokens(0)),
)

var _ = DescribeTable("A holding in a budget of 100,000 tokens needs a sync",
	func(r returnInputs, expected bool) {
		r.limit = 100_000
		Expect(r.needsSync(steadyState())).To(Equal(expected))
	},
	Entry("if it is low", returnInputs{unreserved: 749, target: 1_000, remaining: 50_000}, true),
	Entry("not if the store has nothing for it", returnInputs{unreserved: 749, target: 1_000, remaining: 0}, false),
	Entry("not if it is near its target", returnInputs{unreserved: 750, target: 1_000, remaining: 50_000}, false),
	Entry("if it is far above its target", returnInputs{unreserved: 2_001, target: 1_000, remaining: 50_000}, true),
)

var _ = DescribeTable("A row of a budget of 100,000 tokens is written",
	func(stored, next Row, remaining granitehoist.Tokens, expected bool) {
		Expect(rowNeedsWrite(stored, next, remaining, 100_000)).To(Equal(expected))
	},
	Entry("if tokens were granted", Row{}, Row{Granted: 1}, granitehoist.Tokens(50_000), true),
	Entry("if tokens were returned", Row{}, Row{Returned: 1}, granitehoist.Tokens(50_000), true),
	Entry("not for what was spent", Row{}, Row{Spent: 9_000, Rate: 100}, granitehoist.Tokens(1_000), false),
	Entry("if it reports too much idle near the end", Row{Idle: 101}, Row{}, granitehoist.Tokens(9_999), true),
	Entry("not if that is little", Row{Idle: 100}, Row{}, granitehoist.Tokens(9_999), false),
	Entry("not while much of the budget is left", Row{Idle: 101}, Row{}, granitehoist.Tokens(10_000), false),
	Entry("not if it reports too little idle", Row{}, Row{Idle: 5_000}, granitehoist.Tokens(9_999), false),
)
