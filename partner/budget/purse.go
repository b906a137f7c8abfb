// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// Purse is what one incarnation of a box holds of each budget. It is safe for
// concurrent use and makes no calls.
type Purse struct {
	incarnation granitehoist.Incarnation
	split       func(granitehoist.BudgetID) Split

	mu       sync.Mutex
	accounts map[granitehoist.BudgetID]*account
	closing  bool
}

// PurseSettings configure a Purse.
type PurseSettings struct {
	// Incarnation is the id of this run of the router. It must be set.
	Incarnation granitehoist.Incarnation
	// Split returns the split of a budget; nil stands for the zero Split.
	Split func(granitehoist.BudgetID) Split
}

// NewPurse returns an empty purse. It panics if the settings have no
// incarnation.
func NewPurse(s PurseSettings) *Purse {
	if s.Incarnation == "" {
		panic("budget: purse without incarnation")
	}
	if s.Split == nil {
		s.Split = func(granitehoist.BudgetID) Split { return Split{} }
	}
	split := s.Split
	return &Purse{
		incarnation: s.Incarnation,
		split:       func(k granitehoist.BudgetID) Split { return split(k).withDefaults() },
		accounts:    map[granitehoist.BudgetID]*account{},
	}
}

// Incarnation returns the incarnation that owns the purse.
func (p *Purse) Incarnation() granitehoist.Incarnation { return p.incarnation }

// account returns the account of a budget, a new one at the first call.
func (p *Purse) account(k granitehoist.BudgetID) *account {
	a, ok := p.accounts[k]
	if !ok {
		a = &account{}
		p.accounts[k] = a
	}
	return a
}

// Reserve sets bound tokens of a budget aside, and reports whether the box has
// that many free. It panics if bound is negative. One Settle must follow each
// successful Reserve.
func (p *Purse) Reserve(k granitehoist.BudgetID, bound granitehoist.Tokens) bool {
	mustNotBeNegative(bound)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account(k).reserve(bound)
}

// Settle ends a reservation of bound tokens with the use that the upstream
// reported. If used is larger than bound the whole use is charged, and the
// box's free tokens may be below zero until more arrive. urgent reports whether
// the box now has tokens to give back that others may wait for. It panics if there
// is no such reservation or if used is negative.
func (p *Purse) Settle(k granitehoist.BudgetID, bound, used granitehoist.Tokens, now time.Time) (urgent bool) {
	mustNotBeNegative(used)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(k)
	if a.reserved < bound {
		panic("budget: settlement without reservation")
	}
	a.reserved -= bound
	a.totals.Spent += used
	a.demand.spending.add(used, now)
	a.demand.largest = max(a.demand.largest, bound)
	a.changed = true
	a.wake()
	return a.hasIdle()
}

// Busy reports whether requests wait for tokens, here or elsewhere, that the
// next messages may bring.
func (p *Purse) Busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if len(a.demand.waiters) > 0 || a.hasIdle() {
			return true
		}
	}
	return false
}

// budgetsAwaited returns the budgets for which requests wait.
func (p *Purse) budgetsAwaited() []granitehoist.BudgetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var short []granitehoist.BudgetID
	for k, a := range p.accounts {
		if len(a.demand.waiters) > 0 {
			short = append(short, k)
		}
	}
	sort.Slice(short, func(i, j int) bool { return short[i] < short[j] })
	return short
}

// Close makes the following Asks return everything that is free. After it the
// purse accepts no grant and no loan, so that the page can take back what it
// granted and the purse has not seen.
func (p *Purse) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	for _, a := range p.accounts {
		a.changed = true
	}
}

// mustNotBeNegative panics on an amount that only a fault of the program brings.
func mustNotBeNegative(t granitehoist.Tokens) {
	if t < 0 {
		panic("budget: negative amount")
	}
}

// account is what a purse has of one budget. The lock of the purse guards it.
//
// The tokens that the box holds are always totals.Held(): what it received less
// what it gave away and charged. Each total only grows, and the reserved tokens
// are a part of what is held. Only Purse.Settle may make the free tokens
// negative, by a use beyond the reserved bound; the box then runs nothing on the
// budget until it has received more.
type account struct {
	totals   Totals
	reserved granitehoist.Tokens
	// lent and borrowed are the totals for each other box.
	lent     map[granitehoist.Incarnation]granitehoist.Tokens
	borrowed map[granitehoist.Incarnation]granitehoist.Tokens

	reply  lastReply
	demand demand

	// changed is set when there is something to report to the Keeper, and
	// reportedAt is when the last report was made.
	changed    bool
	reportedAt time.Time
}

// lastReply is what the Keeper last said about a budget. Its zero value stands
// for no reply.
type lastReply struct {
	received bool
	// at is when the reply arrived.
	at time.Time
	// target is what the box should hold.
	target granitehoist.Tokens
	// remaining is what the whole budget had left.
	remaining granitehoist.Tokens
	// lenders are the boxes of the region that hold most.
	lenders []granitehoist.Incarnation
}

// demand is what the box's requests need of a budget.
type demand struct {
	spending forecast
	// largest is the largest bound of a request seen.
	largest granitehoist.Tokens
	// waiters are in the order of arrival.
	waiters []*Waiter
}

// free returns the tokens that are held and not reserved.
func (a *account) free() granitehoist.Tokens { return a.totals.Held() - a.reserved }

// reserve sets tokens aside, and reports whether enough are free.
func (a *account) reserve(bound granitehoist.Tokens) bool {
	if a.free() < bound {
		return false
	}
	a.reserved += bound
	return true
}
