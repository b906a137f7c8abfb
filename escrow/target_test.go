// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

// steadyState are the conditions of four routers that have seen requests for a while.
func steadyState() conditions {
	return conditions{
		now: testNow, routers: 4, cover: DefaultCover, initialFraction: initialFraction, maxHeldFraction: maxHeldFraction, spareFraction: spareFraction,
		confidence: 1, exposedFraction: 1,
	}
}

// startup are those of four routers that have seen no request yet.
func startup() conditions {
	c := steadyState()
	c.confidence = 0
	return c
}

// afterOutage are those right after an outage.
func afterOutage() conditions {
	c := steadyState()
	c.exposedFraction = exposedFractionAfterOutage
	return c
}

// sawOutage are those of routers that have seen an outage some time ago.
func sawOutage() conditions {
	c := steadyState()
	c.sawOutage = true
	return c
}

// halfOfDemand is a router that has half of the fleet's demand of a budget of 100,000
// tokens, of which 60,000 are in the store and 20,000 here.
func halfOfDemand() targetInputs {
	return targetInputs{remaining: 60_000, unreserved: 20_000, limit: 100_000, largest: 500, ownRate: 1000, othersRate: 1000}
}

var _ = DescribeTable("The target of a holding",
	func(c conditions, change func(*targetInputs), expected granitehoist.Tokens) {
		h := halfOfDemand()
		change(&h)
		Expect(h.target(c)).To(Equal(expected))
	},
	Entry("is 9 s of the demand", steadyState(), func(*targetInputs) {}, granitehoist.Tokens(9_000)),
	Entry("is its part of the demand in half of what is left", steadyState(), func(h *targetInputs) { h.ownRate, h.othersRate = 10_000, 10_000 }, granitehoist.Tokens(20_000)),
	Entry("is enough for the largest request where nobody has demand", steadyState(), func(h *targetInputs) { h.ownRate, h.othersRate = 0, 0 }, granitehoist.Tokens(500)),
	Entry("is at most an equal part of 15 % of what is left for such a request", steadyState(), func(h *targetInputs) { h.ownRate, h.othersRate, h.largest = 0, 0, 50_000 }, granitehoist.Tokens(3_000)),
	Entry("is within its part of the demand in the prepaid total, also for such a request", steadyState(), func(h *targetInputs) { h.ownRate = 0 }, granitehoist.Tokens(0)),
	Entry("is an equal part of 20 % of what is left at the start", startup(), func(h *targetInputs) { h.ownRate, h.othersRate = 0, 0 }, granitehoist.Tokens(4_000)),
	Entry("is nothing at a router that asks holders, at the start", startup().withRole(Asks), func(h *targetInputs) { h.ownRate, h.othersRate = 0, 0 }, granitehoist.Tokens(0)),
	Entry("is nothing at one later", steadyState().withRole(Asks), func(*targetInputs) {}, granitehoist.Tokens(0)),
	Entry("is 4 % of what is left at a holder at the start", startup().withRole(Holds), func(h *targetInputs) { h.ownRate, h.othersRate = 0, 0 }, granitehoist.Tokens(3_200)),
	Entry("is less of the end of a budget at a holder", steadyState().withRole(Holds), func(h *targetInputs) { h.ownRate, h.othersRate, h.remaining, h.unreserved = 500, 0, 15_000, 5_000 }, granitehoist.Tokens(2_000)),
	Entry("is 1 s of the demand there, if that is more", steadyState().withRole(Holds), func(h *targetInputs) { h.ownRate, h.othersRate, h.remaining, h.unreserved = 5_000, 0, 15_000, 5_000 }, granitehoist.Tokens(5_000)),
	Entry("is half of it at one that has seen an outage", sawOutage().withRole(Holds), func(h *targetInputs) { h.ownRate, h.othersRate, h.remaining, h.unreserved = 50_000, 0, 15_000, 5_000 }, granitehoist.Tokens(10_000)),
	Entry("is half of what is left at most at a holder", sawOutage().withRole(Holds), func(h *targetInputs) { h.ownRate, h.othersRate = 50_000, 0 }, granitehoist.Tokens(40_000)),
	Entry("is 1 s of the demand at a router that stands in for one", steadyState().withRole(StandsIn), func(h *targetInputs) { h.othersRate = 0 }, granitehoist.Tokens(1_000)),
	Entry("is a tenth of what is left at most there", steadyState().withRole(StandsIn), func(h *targetInputs) { h.ownRate, h.othersRate = 50_000, 0 }, granitehoist.Tokens(8_000)),
	Entry("is nothing there at the start but for the largest request", startup().withRole(StandsIn), func(h *targetInputs) { h.ownRate, h.othersRate = 0, 0 }, granitehoist.Tokens(500)),
	Entry("is bounded by 0.8 % of the prepaid total after an outage", afterOutage(), func(*targetInputs) {}, granitehoist.Tokens(400)),
	Entry("is 1 s of the demand there at a holder, if that is more", afterOutage().withRole(Holds), func(h *targetInputs) { h.othersRate = 0 }, granitehoist.Tokens(1_000)),
	Entry("is nothing of an empty budget", steadyState(), func(h *targetInputs) { h.remaining, h.unreserved = -10, 0 }, granitehoist.Tokens(0)),
	Entry("does not count tokens that are owed", steadyState(), func(h *targetInputs) { h.remaining, h.unreserved = 8_000, -10_000 }, granitehoist.Tokens(2_000)),
)

var _ = DescribeTable("The part of the fleet's demand",
	func(c conditions, own, others float64, expected float64) {
		Expect(targetInputs{ownRate: own, othersRate: others}.demandFraction(c)).To(BeNumerically("~", expected, 1e-9))
	},
	Entry("is equal where nobody has any", steadyState(), 0.0, 0.0, 0.25),
	Entry("is as known", steadyState(), 100.0, 900.0, 0.1),
	Entry("is at least equal at the start", startup(), 100.0, 900.0, 0.25),
	Entry("may be more then", startup(), 600.0, 400.0, 0.6),
)
