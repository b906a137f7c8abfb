// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// account is all that a Ledger has of one workspace. Ledger.mu guards it.
type account struct {
	// owned holds this router's tokens, the only part that decides what may be
	// spent. The other parts decide how much is held and what is refused.
	owned  owned
	fleet  fleetView
	demand demand
	// routers is the number of routers that share the budget, and ration what
	// this one may spend of the last part of it.
	routers int
	ration  ration
	// lastTarget is what the router was to hold as of the last sync.
	lastTarget granitehoist.Tokens
	// waiters are the requests that wait for tokens, the earliest first.
	waiters []*waiter
	// limitChanged says that the limit has changed since the last sync.
	limitChanged bool
	// standsInUntil is until when this router acts as a holder because others were
	// not reached; zero if it was never asked to.
	standsInUntil time.Time
	// refilling says that the next packet is being asked for.
	refilling bool
	// forsaken says that requests wait and no lender answered: the record is read
	// here then, whatever the role.
	forsaken bool
}

// claim is what tokens are wanted for: a request, or a loan to a router that
// has requests.
type claim struct {
	// bound is the most that the request can cost, or the size of the loan.
	bound    granitehoist.Tokens
	priority granitehoist.Priority
	// loan is set for a loan: the borrower applies the rules of the end of a budget.
	loan bool
	// counts says that the claim is demand that this router holds tokens for: its
	// own requests, and the loans of a holder.
	counts bool
}

// judgeEnd applies the rules of the end of a budget to a claim, and lets the
// ration grow up to now. A loan is not judged: the borrower judges its own
// requests.
func (a *account) judgeEnd(c claim, now time.Time) endVerdict {
	if c.loan {
		return endAllows
	}
	end := budgetEnd{
		left:    a.fleet.leftAnywhere(a.owned.unreserved()),
		limit:   a.owned.limit,
		mean:    a.demand.mean,
		routers: a.routers,
	}
	verdict, ration := end.judge(c.bound, a.ration, now)
	a.ration = ration
	return verdict
}

// judgeWait decides whether waiting can still help a claim.
func (a *account) judgeWait(c claim, now time.Time) waitVerdict {
	return judgeWait(c.bound, a.judgeEnd(c, now), a.fleet, a.owned.unreserved())
}

// target returns what the router should hold while the store has remaining tokens.
func (a *account) target(remaining granitehoist.Tokens, c conditions) granitehoist.Tokens {
	h := holding{
		remaining: remaining, unreserved: a.owned.unreserved(),
		limit: a.owned.limit, largest: a.demand.largest,
		ownRate: a.demand.rate.value(c.now), othersRate: a.demand.othersRate,
	}
	if c.role.lends() {
		// Its rate is that of all routers that ask it.
		h.othersRate = 0
	}
	return h.target(c)
}

// storeReturn returns what the return of tokens depends on while the store has
// remaining tokens.
func (a *account) storeReturn(remaining granitehoist.Tokens, c conditions) storeReturn {
	return storeReturn{
		unreserved: a.owned.unreserved(), target: a.target(remaining, c),
		remaining: remaining, limit: a.owned.limit, waiting: len(a.waiters) > 0,
	}
}

// grant returns the tokens that the router asks for while the store has remaining
// tokens. A holding below the part lowBelow of its target is filled.
func (a *account) grant(remaining granitehoist.Tokens, c conditions, lowBelow float64) granitehoist.Tokens {
	if remaining <= 0 {
		return 0
	}
	unreserved := a.owned.unreserved()
	r := refill{
		remaining: remaining, unreserved: unreserved, lowBelow: lowBelow,
		lack:   lackOf(a.allowedBounds(c.now), remaining, unreserved),
		target: a.target(remaining, c),
	}
	return r.grant()
}

// allowedBounds returns the bounds of the waiting requests that the end of the
// budget does not withhold.
func (a *account) allowedBounds(now time.Time) []granitehoist.Tokens {
	bounds := make([]granitehoist.Tokens, 0, len(a.waiters))
	for _, w := range a.waiters {
		if !a.judgeEnd(w.claim, now).withholds() {
			bounds = append(bounds, w.bound)
		}
	}
	return bounds
}

// shortageInputs returns what a shortage depends on.
func (a *account) shortageInputs(c conditions) shortageInputs {
	s := shortageInputs{
		unreserved: a.owned.unreserved(),
		rate:       a.demand.rate.value(c.now),
	}
	for i, w := range a.waiters {
		s.waiting += w.bound
		if i == 0 || w.bound < s.smallest {
			s.smallest = w.bound
		}
	}
	return s
}
