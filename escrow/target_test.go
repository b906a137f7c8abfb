// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

// steadyState returns the conditions of four routers that have seen requests for a
// while.
func steadyState() conditions {
	return conditions{
		now: testNow, routers: 4, cover: DefaultCover, initialFraction: initialFraction, maxHeldFraction: maxHeldFraction, spareFraction: spareFraction,
		observedFraction: 1, postOutageHeldFraction: 1,
	}
}

// startup returns the conditions of four routers that have seen no request yet.
func startup() conditions {
	c := steadyState()
	c.observedFraction = 0
	return c
}

// afterOutage returns the conditions right after an outage.
func afterOutage() conditions {
	c := steadyState()
	c.postOutageHeldFraction = minPostOutageHeldFraction
	return c
}

// sawOutage returns the conditions of routers that saw an outage some time ago.
func sawOutage() conditions {
	c := steadyState()
	c.sawOutage = true
	return c
}

// halfOfDemand returns the inputs of a router with half of the fleet's demand for a
// budget of 100,000 tokens, of which 60,000 are in the store and 20,000 at the router.
func halfOfDemand() targetInputs {
	return targetInputs{remaining: 60_000, unreserved: 20_000, limit: 100_000, largest: 500, ownRate: 1000, othersRate: 1000}
}

var _ = DescribeTable("The target of a holding",
	func(c conditions, change func(*targetInputs), expected granitehoist.Tokens) {
		t := halfOfDemand()
		change(&t)
		Expect(t.target(c)).To(Equal(expected))
	},
	Entry("is 9 s of the demand", steadyState(), func(*targetInputs) {}, granitehoist.Tokens(9_000)),
	Entry("is its part of the demand in half of what is left", steadyState(), func(t *targetInputs) { t.ownRate, t.othersRate = 10_000, 10_000 }, granitehoist.Tokens(20_000)),
	Entry("is enough for the largest request where no router has demand", steadyState(), func(t *targetInputs) { t.ownRate, t.othersRate = 0, 0 }, granitehoist.Tokens(500)),
	Entry("is at most an equal part of 15 % of what is left for such a request", steadyState(), func(t *targetInputs) { t.ownRate, t.othersRate, t.largest = 0, 0, 50_000 }, granitehoist.Tokens(3_000)),
	Entry("is within its part of the demand in the prepaid total, also for such a request", steadyState(), func(t *targetInputs) { t.ownRate = 0 }, granitehoist.Tokens(0)),
	Entry("is an equal part of 20 % of what is left at the start", startup(), func(t *targetInputs) { t.ownRate, t.othersRate = 0, 0 }, granitehoist.Tokens(4_000)),
	Entry("is zero at a borrower at the start", startup().withRole(RoleBorrower), func(t *targetInputs) { t.ownRate, t.othersRate = 0, 0 }, granitehoist.Tokens(0)),
	Entry("is zero at a borrower later", steadyState().withRole(RoleBorrower), func(*targetInputs) {}, granitehoist.Tokens(0)),
	Entry("is 4 % of what is left at a holder at the start", startup().withRole(RoleHolder), func(t *targetInputs) { t.ownRate, t.othersRate = 0, 0 }, granitehoist.Tokens(3_200)),
	Entry("is smaller at a holder near the end of a budget", steadyState().withRole(RoleHolder), func(t *targetInputs) { t.ownRate, t.othersRate, t.remaining, t.unreserved = 500, 0, 15_000, 5_000 }, granitehoist.Tokens(2_000)),
	Entry("is at least 1 s of the demand at a holder near the end of a budget", steadyState().withRole(RoleHolder), func(t *targetInputs) { t.ownRate, t.othersRate, t.remaining, t.unreserved = 5_000, 0, 15_000, 5_000 }, granitehoist.Tokens(5_000)),
	Entry("is half of what is left at a holder that has seen an outage, near the end of a budget", sawOutage().withRole(RoleHolder), func(t *targetInputs) { t.ownRate, t.othersRate, t.remaining, t.unreserved = 50_000, 0, 15_000, 5_000 }, granitehoist.Tokens(10_000)),
	Entry("is at most half of what is left at a holder", sawOutage().withRole(RoleHolder), func(t *targetInputs) { t.ownRate, t.othersRate = 50_000, 0 }, granitehoist.Tokens(40_000)),
	Entry("is 1 s of the demand at a stand-in holder", steadyState().withRole(RoleStandIn), func(t *targetInputs) { t.othersRate = 0 }, granitehoist.Tokens(1_000)),
	Entry("is at most a tenth of what is left at a stand-in holder", steadyState().withRole(RoleStandIn), func(t *targetInputs) { t.ownRate, t.othersRate = 50_000, 0 }, granitehoist.Tokens(8_000)),
	Entry("is enough for the largest request at a stand-in holder at the start", startup().withRole(RoleStandIn), func(t *targetInputs) { t.ownRate, t.othersRate = 0, 0 }, granitehoist.Tokens(500)),
	Entry("is bounded by 0.8 % of the prepaid total after an outage", afterOutage(), func(*targetInputs) {}, granitehoist.Tokens(400)),
	Entry("is at least 1 s of the demand at a holder after an outage", afterOutage().withRole(RoleHolder), func(t *targetInputs) { t.othersRate = 0 }, granitehoist.Tokens(1_000)),
	Entry("is zero of an empty budget", steadyState(), func(t *targetInputs) { t.remaining, t.unreserved = -10, 0 }, granitehoist.Tokens(0)),
	Entry("does not count negative unreserved tokens", steadyState(), func(t *targetInputs) { t.remaining, t.unreserved = 8_000, -10_000 }, granitehoist.Tokens(2_000)),
)

var _ = DescribeTable("A router's fraction of the fleet's demand",
	func(c conditions, own, others float64, expected float64) {
		Expect(targetInputs{ownRate: own, othersRate: others}.demandFraction(c)).To(BeNumerically("~", expected, 1e-9))
	},
	Entry("is equal where no router has demand", steadyState(), 0.0, 0.0, 0.25),
	Entry("is its own rate in that of the fleet", steadyState(), 100.0, 900.0, 0.1),
	Entry("is at least equal at the start", startup(), 100.0, 900.0, 0.25),
	Entry("may be more than equal at the start", startup(), 600.0, 400.0, 0.6),
)
