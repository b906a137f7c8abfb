// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// DefaultCover is how long holdings should last at the present rate of spending. A
	// longer cover bridges longer outages of the store, and loses more tokens if the router
	// crashes.
	DefaultCover = 9 * time.Second
	// maxHeldFraction is the fraction of the available tokens that all routers together may
	// hold for future requests. The available tokens of a router are those in the store and
	// its own unreserved ones.
	maxHeldFraction = 0.5
	// initialFraction is the fraction of the available tokens that all routers together
	// hold before their rates of spending are known. Operators prepay in proportion to the
	// demand that they expect.
	initialFraction = 0.2
	// spareRequests is the least that a router holds at any rate of spending, in
	// requests of the largest maximum cost that it has seen.
	spareRequests = 1.0
	// spareFraction limits the tokens held for spareRequests: it is the fraction of the
	// available tokens that all routers together may hold for them.
	spareFraction = 0.15
	// holderInitialFraction replaces initialFraction at a holder. A holder needs less,
	// since a loan that exceeds its holding triggers a sync.
	holderInitialFraction = 0.04
	// holderMaxHeldFraction replaces maxHeldFraction at a holder. The holding serves the
	// loans of the shard while the store is unresponsive, and is lost if the holder
	// crashes.
	holderMaxHeldFraction = 0.5
	// holderLowBudgetFactor limits the holding of a holder that has seen no outage to
	//
	//	holderLowBudgetFactor * available² / prepaid total
	//
	// where available is the number of available tokens. The held share of them shrinks as
	// the budget runs out, so that few tokens are lost if all routers crash near its end. A
	// holder that has seen an outage expects another one and holds more.
	holderLowBudgetFactor = 0.5
	// minHolderCover limits the effect of holderLowBudgetFactor and of
	// postOutageHeldFraction: they never reduce a holding below what the holder spends in
	// this time. It exceeds DefaultInterval, so that a holder does not write the record for
	// single requests between two checks. On a calm day with two outages it reduced 1,194
	// writes to 926.
	minHolderCover = time.Second
	// standInCover and standInMaxHeldFraction replace the cover and maxHeldFraction at a
	// stand-in holder. They are small because the holder may respond again at any time.
	standInCover           = time.Second
	standInMaxHeldFraction = 0.1
)

// conditions are the inputs common to all decisions on holdings.
type conditions struct {
	now time.Time
	// era is the store's latest era, and lossWindow what the store may lose.
	era        granitehoist.Era
	lossWindow time.Duration
	// role is the router's role for the workspace.
	role Role
	// routers is the number of routers that share the budgets, at least one. It is one
	// for a holder, which holds the tokens for all routers.
	routers int
	// cover is how long the holding should last at the router's rate of spending.
	cover time.Duration
	// initialFraction, spareFraction and maxHeldFraction are the constants of the same
	// names, or those that replace them for the role.
	initialFraction float64
	spareFraction   float64
	maxHeldFraction float64
	// observedFraction is the time since the first request of any workspace, as a fraction
	// of rateWindow: 0 before that request, and at most 1. The higher it is, the more the
	// router relies on its measured rates. At 1 a workspace without requests counts as one
	// without demand.
	observedFraction float64
	// postOutageHeldFraction is the fraction of a prepaid total that all routers together
	// may hold after an outage, and 1 at other times; see the function of this name.
	postOutageHeldFraction float64
	// sawOutage is set if the store was unresponsive for at least minOutage, either to
	// this router or to a neighbour that reported it.
	sawOutage bool
	// closing is set if the router is shutting down and is to hold nothing.
	closing bool
}

// withRole returns the conditions of a router with a role. The target of a borrower is
// zero; it holds tokens for future requests only as batches (batchSize).
func (c conditions) withRole(r Role) conditions {
	c.role = r
	switch r {
	case RoleHolder:
		c.routers, c.initialFraction, c.maxHeldFraction = 1, holderInitialFraction, holderMaxHeldFraction
	case RoleStandIn:
		c.routers, c.initialFraction, c.maxHeldFraction, c.cover = 1, 0, standInMaxHeldFraction, standInCover
	case RoleBorrower, RoleSubHolder:
		c.cover, c.initialFraction, c.spareFraction = 0, 0, 0
	case RoleDirect:
	}
	return c
}

// isLimitedAfterOutage reports whether an outage of the store has ended less than
// postOutageLimitTime ago, so that holdings are limited.
func (c conditions) isLimitedAfterOutage() bool { return c.postOutageHeldFraction < 1 }

// targetInputs holds the inputs of the target of one workspace's holding. Rates are in
// tokens a second.
type targetInputs struct {
	// remaining is what the store has left. unreserved is what this router owns and has
	// not reserved; it can be negative.
	remaining, unreserved granitehoist.Tokens
	// limit is the prepaid total. largest is the largest maximum cost of the claims that
	// count as this router's demand.
	limit, largest granitehoist.Tokens
	// ownRate is this router's demand.rate. othersRate is demand.othersRate, or zero at a
	// holder, whose own rate includes the loans to its borrowers.
	ownRate, othersRate float64
}

// target returns how many unreserved tokens a router should hold for future requests. The
// available tokens are those in the store and the router's own unreserved ones. An equal
// part is the fraction 1/c.routers. Each of these rules may override the rules before it:
//
//   - Hold what the router spends in c.cover. While c.observedFraction is below 1, hold at
//     least an equal part of c.initialFraction of the available tokens, scaled by
//     1 - c.observedFraction.
//   - Hold at most maxHeld, multiplied by demandFraction.
//   - Hold at least spareRequests requests of the largest maximum cost, as far as an equal
//     part of c.spareFraction of the available tokens covers them.
//   - Hold at most c.postOutageHeldFraction of the prepaid total, multiplied by
//     demandFraction, or minimum if that is more.
func (t targetInputs) target(c conditions) granitehoist.Tokens {
	want := t.ownRate * c.cover.Seconds()
	available := float64(max(0, t.remaining+max(0, t.unreserved)))
	want = max(want, c.initialFraction*available/float64(c.routers)*(1-c.observedFraction))
	held := min(want, t.maxHeld(c, available)*t.demandFraction(c))
	spare := min(spareRequests*float64(t.largest), c.spareFraction*available/float64(c.routers))
	most := max(c.postOutageHeldFraction*float64(t.limit)*t.demandFraction(c), t.minimum(c))
	return granitehoist.Tokens(min(max(held, spare), most))
}

// maxHeld returns the tokens that all routers together may hold for future requests:
// c.maxHeldFraction of the available tokens. At a holder that has seen no outage, the
// limit of holderLowBudgetFactor also applies, but never below minimum.
func (t targetInputs) maxHeld(c conditions, available float64) float64 {
	most := c.maxHeldFraction * available
	if !c.role.isHolder() || c.sawOutage || t.limit <= 0 {
		return most
	}
	lowBudget := holderLowBudgetFactor * available / float64(t.limit) * available
	return min(most, max(lowBudget, t.minimum(c)))
}

// minimum returns what a holder spends in minHolderCover, and zero for other roles.
func (t targetInputs) minimum(c conditions) float64 {
	if !c.role.isHolder() {
		return 0
	}
	return t.ownRate * minHolderCover.Seconds()
}

// demandFraction returns the router's fraction of the fleet's rate of spending, but at
// least the equal fraction 1/c.routers scaled by 1 - c.observedFraction. It returns the
// equal fraction if no router spends anything.
func (t targetInputs) demandFraction(c conditions) float64 {
	equal := 1 / float64(c.routers)
	fleet := t.ownRate + t.othersRate
	if fleet <= 0 {
		return equal
	}
	return max(equal*(1-c.observedFraction), t.ownRate/fleet)
}
