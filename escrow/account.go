// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// account is the state of one workspace in a Ledger. Ledger.mu guards it.
type account struct {
	// owned holds this router's tokens, the only part that decides what may be spent.
	// The other parts decide how much is held and which requests are refused.
	owned owned
	// bounds limits how much of that may be used until the store has a later bound.
	bounds useBounds
	// ceilings are those that the store holds.
	ceilings ceilings
	// ceilingBound is set if, at the last sync, the ceiling allowed less than this router
	// wanted.
	ceilingBound bool
	// writtenIn is the store's era in which this incarnation last wrote its row.
	writtenIn granitehoist.Era
	fleet     fleetView
	demand    demand
	// routers is the number of routers that share the budget. ration is this router's
	// spending limit for the last part of the budget.
	routers int
	ration  ration
	// lastTarget is the target of the holding at the last sync.
	lastTarget granitehoist.Tokens
	// waiters are the requests that wait for tokens, in order of arrival.
	waiters []*waiter
	// limitChanged is set if the limit has changed since the last sync.
	limitChanged bool
	// standInUntil is until when this router acts as a stand-in holder, zero if no
	// borrower has asked for that.
	standInUntil time.Time
	// refilling is set while the next batch is being borrowed.
	refilling bool
	// lendersFailed is set if no lender responded to a waiting request. This router then
	// uses the record even if it is a borrower.
	lendersFailed bool
}

// claim asks a Ledger to reserve tokens, for a request or for a loan to a borrower.
type claim struct {
	// maxCost is the maximum cost of the request; for a loan, its size.
	maxCost  granitehoist.Tokens
	priority granitehoist.Priority
	// isLoan is set for a loan. The low-budget rules don't apply to loans, since the
	// borrower applies them to its own requests.
	isLoan bool
	// countsAsDemand is set if the claim counts towards the demand for which this router
	// holds tokens: for its own requests, and for the loans of a holder.
	countsAsDemand bool
}

// checkLowBudget applies the low-budget rules to a claim, and refills the ration up to
// now. Loans are always allowed: the borrower checks its own requests.
func (a *account) checkLowBudget(c claim, now time.Time) lowBudgetDecision {
	if c.isLoan {
		return lowBudgetAllowed
	}
	rules := lowBudgetRules{
		remaining: a.fleet.totalRemaining(a.owned.unreserved()),
		limit:     a.owned.limit,
		mean:      a.demand.mean,
		routers:   a.routers,
	}
	decision, ration := rules.decide(c.maxCost, a.ration, now)
	a.ration = ration
	return decision
}

// checkWait decides whether a claim may go on waiting.
func (a *account) checkWait(c claim, now time.Time) waitDecision {
	return decideWait(c.maxCost, a.checkLowBudget(c, now), a.fleet, a.owned.unreserved())
}

// target returns how many unreserved tokens the router should hold for future requests.
// remaining is what the store has left.
func (a *account) target(remaining granitehoist.Tokens, c conditions) granitehoist.Tokens {
	t := targetInputs{
		remaining: remaining, unreserved: a.owned.unreserved(),
		limit: a.owned.limit, largest: a.demand.largest,
		ownRate: a.demand.rate.value(c.now), othersRate: a.demand.othersRate,
	}
	if c.role.isHolder() {
		// The rate of a holder already includes the rates of its borrowers.
		t.othersRate = 0
	}
	return t.target(c)
}

// returnInputs returns the inputs of a return of tokens to the store. remaining is what
// the store has left.
func (a *account) returnInputs(remaining granitehoist.Tokens, c conditions) returnInputs {
	return returnInputs{
		unreserved: a.owned.unreserved(), target: a.target(remaining, c),
		remaining: remaining, limit: a.owned.limit, waiting: len(a.waiters) > 0,
	}
}

// grant returns how many tokens to request from the store. remaining is what the store
// has left; threshold is the fraction of the target below which the holding is filled.
func (a *account) grant(remaining granitehoist.Tokens, c conditions, threshold float64) granitehoist.Tokens {
	if remaining <= 0 {
		return 0
	}
	unreserved := a.owned.unreserved()
	g := grantInputs{
		remaining: remaining, unreserved: unreserved, threshold: threshold,
		shortfall: shortfallOf(a.allowedMaxCosts(c.now), remaining, unreserved),
		target:    a.target(remaining, c),
	}
	return g.grant()
}

// ceilingInputs returns the inputs of the ceiling to announce. remaining is what the store
// has left.
func (a *account) ceilingInputs(remaining granitehoist.Tokens, c conditions) ceilingInputs {
	return ceilingInputs{
		remaining: remaining, largest: a.demand.largest,
		rate: a.demand.rate.value(c.now) + a.demand.othersRate, isRateKnown: c.observedFraction >= 1, isBound: a.ceilingBound,
		window: c.lossWindow, cover: c.cover,
	}
}

// allowedMaxCosts returns the maximum costs of the waiting requests that the low-budget
// rules allow.
func (a *account) allowedMaxCosts(now time.Time) []granitehoist.Tokens {
	maxCosts := make([]granitehoist.Tokens, 0, len(a.waiters))
	for _, w := range a.waiters {
		if !a.checkLowBudget(w.claim, now).withholds() {
			maxCosts = append(maxCosts, w.maxCost)
		}
	}
	return maxCosts
}

// loanRequestInputs returns the inputs of a loan request for the waiting requests.
func (a *account) loanRequestInputs(c conditions) loanRequestInputs {
	r := loanRequestInputs{
		unreserved: a.owned.unreserved(),
		rate:       a.demand.rate.value(c.now),
	}
	for i, w := range a.waiters {
		r.waiting += w.maxCost
		if i == 0 || w.maxCost < r.smallest {
			r.smallest = w.maxCost
		}
	}
	return r
}
