// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A request near the end of a budget of 100,000 tokens",
	func(remaining, maxCost granitehoist.Tokens, expected lowBudgetDecision) {
		rules := lowBudgetRules{remaining: remainingBudget{tokens: remaining, known: true}, limit: 100_000, mean: 200, routers: 4}
		decision, _ := rules.decide(maxCost, ration{tokens: 50, at: testNow}, testNow)
		Expect(decision).To(Equal(expected))
		Expect(decision.withholds()).To(Equal(expected != lowBudgetAllowed))
	},
	Entry("is allowed from 6 % on", granitehoist.Tokens(6_000), granitehoist.Tokens(5_999), lowBudgetAllowed),
	Entry("may have the mean size below 6 %", granitehoist.Tokens(5_999), granitehoist.Tokens(200), lowBudgetAllowed),
	Entry("may not exceed the mean size below 6 %", granitehoist.Tokens(5_999), granitehoist.Tokens(201), aboveMeanCost),
	Entry("may not take more than a third of the remaining budget", granitehoist.Tokens(5_999), granitehoist.Tokens(1_980), aboveMaxFraction),
	Entry("needs no ration from 1 % on", granitehoist.Tokens(1_000), granitehoist.Tokens(200), lowBudgetAllowed),
	Entry("may use the ration below 1 %", granitehoist.Tokens(999), granitehoist.Tokens(50), lowBudgetAllowed),
	Entry("may not exceed the ration below 1 %", granitehoist.Tokens(999), granitehoist.Tokens(51), aboveRation),
)

var _ = Describe("The end of a budget whose remainder is unknown", func() {
	It("withholds nothing", func() {
		decision, _ := lowBudgetRules{limit: 100_000}.decide(50_000, ration{}, testNow)
		Expect(decision).To(Equal(lowBudgetAllowed))
	})
})

var _ = Describe("The ration", func() {
	rules := lowBudgetRules{remaining: remainingBudget{tokens: 800, known: true}, limit: 100_000, mean: 200, routers: 4}
	after := func(r ration, d time.Duration) ration {
		_, r = rules.decide(1, r, testNow.Add(d))
		return r
	}

	It("allows nothing at first", func() {
		Expect(after(ration{}, 0)).To(Equal(ration{at: testNow}))
	})

	It("grows by the router's share of what is left in 20 s", func() {
		// Half of the four routers are assumed to spend: 800 / 2 / 20 s.
		Expect(after(ration{at: testNow}, time.Second).tokens).To(BeNumerically("~", 20, 1e-9))
	})

	It("is bounded by two requests of the mean size", func() {
		Expect(after(ration{at: testNow}, time.Minute).tokens).To(BeNumerically("~", 400, 1e-9))
	})

	It("does not grow on a request that another rule withholds", func() {
		_, r := rules.decide(201, ration{at: testNow}, testNow.Add(time.Second))
		Expect(r).To(Equal(ration{at: testNow}))
	})

	It("is reduced by what is spent, down to zero", func() {
		Expect(ration{tokens: 50}.minus(20).tokens).To(BeNumerically("==", 30))
		Expect(ration{tokens: 50}.minus(60).tokens).To(BeZero())
	})
})
