// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// DefaultCover is how long holdings should last at the present rate of spending. It
	// exceeds most outages of the store and limits the tokens that are lost with a
	// router that crashes.
	DefaultCover = 9 * time.Second
	// maxHeldFraction is the fraction of the available tokens that all routers together
	// may hold ahead of requests. Available tokens are those in the store and the
	// unreserved ones here.
	maxHeldFraction = 0.5
	// initialFraction is the fraction of the available tokens that all routers together
	// hold before requests show the demand. The prepaid total is taken as a measure of
	// the demand.
	initialFraction = 0.2
	// spareRequests is how many requests of the largest size a router may hold tokens
	// for where it has next to no demand.
	spareRequests = 1.0
	// spareFraction is the fraction of the available tokens that all routers together
	// may hold for such requests.
	spareFraction = 0.15
	// holderInitialFraction replaces initialFraction at a holder, which can get more
	// from the store as soon as it is asked.
	holderInitialFraction = 0.04
	// holderMaxHeldFraction replaces maxHeldFraction at a holder. Its holding serves the
	// shard while the store is unresponsive, and is lost if it crashes.
	holderMaxHeldFraction = 0.5
	// holderEndFraction limits the holding of a holder that has seen no outage, in
	// proportion to the fraction of the prepaid total that is left, so that little of
	// the end of a budget is lost if all routers crash. Routers that have seen an outage
	// expect more of them and ignore the limit.
	holderEndFraction = 0.5
	// minHolderCover is the least time of the demand that a holder holds tokens for,
	// also right after an outage. It exceeds DefaultInterval, so that a holder does not
	// write the record for single requests between two checks.
	minHolderCover = time.Second
	// standInCover and standInMaxHeldFraction are those of a stand-in holder, which the
	// holder may replace at any moment.
	standInCover           = time.Second
	standInMaxHeldFraction = 0.1
)

// conditions are the inputs common to all decisions on holdings.
type conditions struct {
	now time.Time
	// role is the router's for the workspace.
	role Role
	// routers is the number of routers that share the budgets, at least one.
	routers int
	// cover is the time of its own spending that the router holds tokens for.
	cover time.Duration
	// initialFraction is the fraction of the available tokens that all routers hold
	// before requests show the demand.
	initialFraction float64
	// spareFraction is the fraction of the available tokens that all routers hold for
	// their largest request where they have next to no demand.
	spareFraction float64
	// maxHeldFraction is the fraction of the available tokens that all routers may hold
	// ahead of requests.
	maxHeldFraction float64
	// confidence grows from 0 to 1 within rateWindow of the first request. At 1 the
	// absence of requests for a workspace means that it has no demand.
	confidence float64
	// exposedFraction is the fraction of a prepaid total that all routers may hold.
	exposedFraction float64
	// sawOutage is set if this router has seen an outage of the store, its own or a
	// neighbour's.
	sawOutage bool
	// closing is set if the router is shutting down and is to hold nothing.
	closing bool
}

// withRole returns the conditions of a router with a role. A borrower holds nothing
// ahead of its requests.
func (c conditions) withRole(r Role) conditions {
	c.role = r
	switch r {
	case RoleHolder:
		c.routers, c.initialFraction, c.maxHeldFraction = 1, holderInitialFraction, holderMaxHeldFraction
	case RoleStandIn:
		c.routers, c.initialFraction, c.maxHeldFraction, c.cover = 1, 0, standInMaxHeldFraction, standInCover
	case RoleBorrower:
		c.cover, c.initialFraction, c.spareFraction = 0, 0, 0
	case RoleDirect:
	}
	return c
}

// isExposureLimited reports whether holdings are limited after an outage.
func (c conditions) isExposureLimited() bool { return c.exposedFraction < 1 }

// targetInputs holds the inputs of the target of one workspace's holding. Rates are in
// tokens a second.
type targetInputs struct {
	// remaining is what the store has left, unreserved what is owned here.
	remaining, unreserved granitehoist.Tokens
	// limit is the prepaid total, largest the largest bound of a request here.
	limit, largest granitehoist.Tokens
	// ownRate is the rate of this router's requests and, at a holder, of its loans;
	// othersRate is the sum of the rates in the rows of other routers, as old as the
	// record.
	ownRate, othersRate float64
}

// target returns how many tokens a router should hold ahead of requests: what it spends
// in c.cover, or an initial part while the demand is unknown, within its part of the
// fleet's demand in maxHeldFraction of the available tokens. It is enough for the
// router's largest request, within spareFraction. It is bounded by the router's part of
// the fleet's demand in exposedFraction of the prepaid total, but not below
// minHolderCover at a holder.
func (t targetInputs) target(c conditions) granitehoist.Tokens {
	want := t.ownRate * c.cover.Seconds()
	available := float64(max(0, t.remaining+max(0, t.unreserved)))
	want = max(want, c.initialFraction*available/float64(c.routers)*(1-c.confidence))
	held := min(want, t.maxHeld(c, available)*t.demandFraction(c))
	spare := min(spareRequests*float64(t.largest), c.spareFraction*available/float64(c.routers))
	most := max(c.exposedFraction*float64(t.limit)*t.demandFraction(c), t.minimum(c))
	return granitehoist.Tokens(min(max(held, spare), most))
}

// maxHeld returns the tokens that all routers may hold ahead of requests. At a holder
// that has seen no outage it shrinks with the remaining budget, but not below
// minHolderCover.
func (t targetInputs) maxHeld(c conditions, available float64) float64 {
	most := c.maxHeldFraction * available
	if !c.role.isHolder() || c.sawOutage || t.limit <= 0 {
		return most
	}
	end := holderEndFraction * available / float64(t.limit) * available
	return min(most, max(end, t.minimum(c)))
}

// minimum returns the tokens of minHolderCover at a holder, none at other routers.
func (t targetInputs) minimum(c conditions) float64 {
	if !c.role.isHolder() {
		return 0
	}
	return t.ownRate * minHolderCover.Seconds()
}

// demandFraction returns the router's fraction of the fleet's demand, but no less than
// an equal fraction while the router does not know its own demand yet.
func (t targetInputs) demandFraction(c conditions) float64 {
	equal := 1 / float64(c.routers)
	fleet := t.ownRate + t.othersRate
	if fleet <= 0 {
		return equal
	}
	return max(equal*(1-c.confidence), t.ownRate/fleet)
}
