// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// DefaultCover is the time of spending that a router holds tokens for: longer
	// than most outages of the store, and little to lose with a router that dies.
	// Measured at Tuul, a calm day and one that kills all routers
	// (docs/design/platform.md): 5 s 0.56 and 0.63, 12 s with a floor of 27 % 0.77
	// and 0.51, 9 s 0.82 and 0.63; 9.5 s earned no more (332eb91).
	DefaultCover = 9 * time.Second
	// sharePart is the part of what is left that all routers together may hold
	// ahead of requests. Measured (e3d7583, mean worth at Tuul and Lima): 0.35
	// 0.591 and 0.595, 0.5 0.602 and 0.599; 0.65 0.602 and 0.614, but too little
	// is served then after a loss of all routers.
	sharePart = 0.5
	// startPart is the part of what is left that all routers together hold before
	// requests show the demand: operators prepay in the proportions of the demand
	// that they expect. Chosen, not measured (f7eef06); there a floor of 27 % that
	// did not fade lost 26 % of the tokens when all routers died.
	startPart = 0.2
	// spareRequests is how many requests of the largest size a router may hold tokens for
	// where it sees next to no demand.
	spareRequests = 1.0
	// sparePart is the part of what is left that all routers together may hold for such
	// requests.
	sparePart = 0.15
	// holderStartPart replaces startPart at a holder, which gets more from the store in
	// milliseconds as soon as it is asked.
	holderStartPart = 0.04
	// holderSharePart replaces sharePart at a holder. All that it holds is lost if it
	// dies, and serves its shards while the store is away. A quarter earned 0.033 +-
	// 0.025 of worth less in six pairs of days of a fleet of 86 routers, an eighth
	// 0.038 +- 0.031: less on the days with outages for all routers, more on those
	// without.
	holderSharePart = 0.5
	// endShare replaces holderSharePart at a holder that has not lived through an outage,
	// in proportion to the part of the prepaid total that is left: little of the end of a
	// budget is then lost if all routers die, and callers find something afterwards. In a
	// fleet of 22 routers, on a day that ends with a loss of all, it keeps the users' rule
	// that a quarter of the requests is served then: 0 of 32 plays broke it, 3 of 28
	// without. It is not for routers that saw an outage, which is then likely to come
	// again: for these too it cost 0.027 +- 0.011 of worth in six pairs of days of 87
	// routers, with the exception 0.009 +- 0.010, which is no result.
	endShare = 0.5
	// leastCover is the least time of the demand that a holder holds tokens for, also
	// right after an outage: it looks at its holdings each 0.7 s or so
	// (DefaultInterval), and would write the record for single requests between two
	// looks. On a calm day of 87 routers with two outages it makes 1,194 writes 926.
	leastCover = time.Second
	// standInCover and standInSharePart are those of a router that stands in for a holder,
	// which may take over again at any moment.
	standInCover     = time.Second
	standInSharePart = 0.1
)

// conditions are what decisions on a holding depend on besides the account.
type conditions struct {
	now time.Time
	// role is the router's for the workspace.
	role Role
	// routers is the number of routers that share the budgets, at least one.
	routers int
	// cover is the time of its own spending that the router holds tokens for.
	cover time.Duration
	// startPart is the part of what is left that all routers hold before requests
	// show the demand.
	startPart float64
	// sparePart is the part of what is left that all routers hold for the largest
	// request each where they see next to no demand.
	sparePart float64
	// sharePart is the part of what is left that all routers hold ahead of requests.
	sharePart float64
	// confidence grows from 0 to 1 within rateTime of the first request: from then
	// on the absence of requests for a workspace says as much as many do.
	confidence float64
	// exposedPart is the part of a prepaid total that all routers may hold.
	exposedPart float64
	// sawOutage says that this router has lived through an outage of the store, its own
	// or a neighbour's.
	sawOutage bool
	// closing says that the router stops and is to hold nothing.
	closing bool
}

// as returns the conditions of a router with a role. One that asks holders owns
// nothing ahead of its requests.
func (c conditions) as(r Role) conditions {
	c.role = r
	switch r {
	case Holds:
		c.routers, c.startPart, c.sharePart = 1, holderStartPart, holderSharePart
	case StandsIn:
		c.routers, c.startPart, c.sharePart, c.cover = 1, 0, standInSharePart, standInCover
	case Asks:
		c.cover, c.startPart, c.sparePart = 0, 0, 0
	case Shares:
	}
	return c
}

// isExposureBounded reports whether holdings are to stay small after an outage.
func (c conditions) isExposureBounded() bool { return c.exposedPart < 1 }

// holding is what the size of one workspace's holding depends on. Rates are in
// tokens a second.
type holding struct {
	// remaining is what the store has left, unreserved what is owned here.
	remaining, unreserved granitehoist.Tokens
	// limit is the prepaid total, largest the largest bound of a request here.
	limit, largest granitehoist.Tokens
	// ownRate is what this router's requests and, at a holder, loans take; othersRate
	// what the rows of other routers say, as old as the record.
	ownRate, othersRate float64
}

// target decides how many tokens a router should hold ahead of requests: what is
// spent of them in the time to be covered, or a part of the start if the
// demand is not known yet, within its part of the fleet's demand in sharePart of
// what is left. It holds enough for its largest request, within sparePart. All of
// it stays within the router's part of the fleet's demand in exposedPart of the
// prepaid total: a small bound after an outage, though not below leastCover at a
// holder, at other times one that only a router with next to none of the demand comes
// up against.
//
// What is held can be spent while the store is away, and is lost if the router
// dies.
func (h holding) target(c conditions) granitehoist.Tokens {
	want := h.ownRate * c.cover.Seconds()
	left := float64(max(0, h.remaining+max(0, h.unreserved)))
	want = max(want, c.startPart*left/float64(c.routers)*(1-c.confidence))
	held := min(want, h.shared(c, left)*h.demandPart(c))
	spare := min(spareRequests*float64(h.largest), c.sparePart*left/float64(c.routers))
	most := max(c.exposedPart*float64(h.limit)*h.demandPart(c), h.least(c))
	return granitehoist.Tokens(min(max(held, spare), most))
}

// shared returns the part of what is left, in tokens, that all routers hold ahead of
// requests. That of a holder shrinks with what is left of the budget until it has seen an
// outage, but not below leastCover.
func (h holding) shared(c conditions, left float64) float64 {
	most := c.sharePart * left
	if !c.role.lends() || c.sawOutage || h.limit <= 0 {
		return most
	}
	end := endShare * left / float64(h.limit) * left
	return min(most, max(end, h.least(c)))
}

// least returns the tokens of leastCover at a holder, none at other routers.
func (h holding) least(c conditions) float64 {
	if !c.role.lends() {
		return 0
	}
	return h.ownRate * leastCover.Seconds()
}

// demandPart returns the router's part of the fleet's demand, but no less than an
// equal part while the router does not know its own demand yet.
func (h holding) demandPart(c conditions) float64 {
	equal := 1 / float64(c.routers)
	fleet := h.ownRate + h.othersRate
	if fleet <= 0 {
		return equal
	}
	return max(equal*(1-c.confidence), h.ownRate/fleet)
}
