// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// Ledger holds the accounts of one incarnation of a box, one for each budget. It is safe for
// concurrent use and makes no calls.
type Ledger struct {
	incarnation granitehoist.Incarnation
	split       func(granitehoist.BudgetID) Split

	mu       sync.Mutex
	accounts map[granitehoist.BudgetID]*account
	closing  bool
}

// LedgerSettings configures a Ledger.
type LedgerSettings struct {
	// Incarnation identifies this run of the router. It is required.
	Incarnation granitehoist.Incarnation
	// Split returns the Split of a budget; nil means the zero Split for all.
	Split func(granitehoist.BudgetID) Split
}

// NewLedger returns an empty Ledger. It panics if Incarnation is missing.
func NewLedger(s LedgerSettings) *Ledger {
	if s.Incarnation == "" {
		panic("budget: LedgerSettings needs Incarnation")
	}
	if s.Split == nil {
		s.Split = func(granitehoist.BudgetID) Split { return Split{} }
	}
	split := s.Split
	return &Ledger{
		incarnation: s.Incarnation,
		split:       func(k granitehoist.BudgetID) Split { return split(k).withDefaults() },
		accounts:    map[granitehoist.BudgetID]*account{},
	}
}

// Incarnation returns the incarnation that holds the tokens.
func (p *Ledger) Incarnation() granitehoist.Incarnation { return p.incarnation }

// account returns the account of a budget and creates it if needed.
func (p *Ledger) account(k granitehoist.BudgetID) *account {
	a, ok := p.accounts[k]
	if !ok {
		a = &account{}
		p.accounts[k] = a
	}
	return a
}

// Reserve reserves bound tokens of a budget, and reports whether the box has that many free.
// It panics if bound is negative. Each successful Reserve must be followed by one Settle.
func (p *Ledger) Reserve(k granitehoist.BudgetID, bound granitehoist.Tokens) bool {
	mustNotBeNegative(bound)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account(k).reserve(bound)
}

// Settle ends a reservation of bound tokens and charges the use that the upstream reported.
// A use beyond bound is charged in full, which may make the free tokens negative until more
// arrive. urgent reports whether the box should return tokens now because others may wait
// for them. Settle panics if less than bound is reserved or if used is negative.
func (p *Ledger) Settle(k granitehoist.BudgetID, bound, used granitehoist.Tokens, now time.Time) (urgent bool) {
	mustNotBeNegative(used)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(k)
	if a.reserved < bound {
		panic("budget: Settle of more tokens than are reserved")
	}
	a.reserved -= bound
	a.totals.Spent += used
	a.demand.spending.add(used, now)
	a.demand.largest = max(a.demand.largest, bound)
	a.changed = true
	a.serveWaiters()
	return a.hasUrgentSurplus()
}

// HasPending reports whether the next reports should not be delayed. This is so if requests
// of the box wait for tokens, or if the box has a surplus for which requests elsewhere may
// wait.
func (p *Ledger) HasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		if len(a.demand.waiters) > 0 || a.hasUrgentSurplus() {
			return true
		}
	}
	return false
}

// waitingBudgets returns the budgets with waiting requests, in order.
func (p *Ledger) waitingBudgets() []granitehoist.BudgetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var waiting []granitehoist.BudgetID
	for k, a := range p.accounts {
		if len(a.demand.waiters) > 0 {
			waiting = append(waiting, k)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i] < waiting[j] })
	return waiting
}

// Close makes later reports return all free tokens. A closed Ledger accepts no grant and no
// loan, so that the region can revoke grants that the Ledger has not seen.
func (p *Ledger) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	for _, a := range p.accounts {
		a.changed = true
	}
}

// mustNotBeNegative panics if an amount is negative, which is a programming error.
func mustNotBeNegative(t granitehoist.Tokens) {
	if t < 0 {
		panic("budget: negative number of tokens")
	}
}

// account is the state of one budget on a box, guarded by the lock of the Ledger.
//
// The box holds totals.Held() tokens, including the reserved ones. Only Ledger.Settle
// can make the free tokens negative, by a use beyond the reserved bound; the box then serves
// no request of the budget until it has received more.
type account struct {
	totals   Totals
	reserved granitehoist.Tokens
	// lent and borrowed hold the totals lent to and borrowed from each other incarnation.
	lent     map[granitehoist.Incarnation]granitehoist.Tokens
	borrowed map[granitehoist.Incarnation]granitehoist.Tokens

	reply  lastReply
	demand demand

	// changed is set if there is something to report. reportedAt is the time of the last
	// report.
	changed    bool
	reportedAt time.Time
}

// lastReply is the state from the latest reply about a budget. Its zero value means that
// there was none.
type lastReply struct {
	received bool
	// receivedAt is when the reply arrived.
	receivedAt time.Time
	// target is what the box should hold.
	target granitehoist.Tokens
	// remaining is what the whole budget had left.
	remaining granitehoist.Tokens
	// lenders are the boxes of the region with the largest holdings.
	lenders []granitehoist.Incarnation
}

// demand describes what the box's requests need of a budget.
type demand struct {
	spending forecast
	// largest is the largest bound of a request so far.
	largest granitehoist.Tokens
	// waiters are in order of arrival.
	waiters []*Waiter
}

// free returns the tokens that are held and not reserved.
func (a *account) free() granitehoist.Tokens { return a.totals.Held() - a.reserved }

// reserve reserves tokens and reports whether enough were free.
func (a *account) reserve(bound granitehoist.Tokens) bool {
	if a.free() < bound {
		return false
	}
	a.reserved += bound
	return true
}
