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
func (l *Ledger) Incarnation() granitehoist.Incarnation { return l.incarnation }

// account returns the account of a budget and creates it if needed.
func (l *Ledger) account(k granitehoist.BudgetID) *account {
	a, ok := l.accounts[k]
	if !ok {
		a = &account{}
		l.accounts[k] = a
	}
	return a
}

// Reserve reserves maxCost tokens of a budget and returns true, or returns false if the
// box has fewer free. It panics if maxCost is negative. Each successful Reserve must be
// followed by one Settle.
func (l *Ledger) Reserve(k granitehoist.BudgetID, maxCost granitehoist.Tokens) bool {
	mustNotBeNegative(maxCost)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account(k).reserve(maxCost)
}

// Settle ends a reservation of maxCost tokens and charges the use that the upstream reported.
// A use beyond maxCost is charged in full, which may make the free tokens negative until more
// arrive. urgent reports whether the box should return tokens now because requests at other
// boxes may wait for them. Settle panics if less than maxCost is reserved or if used is
// negative.
func (l *Ledger) Settle(k granitehoist.BudgetID, maxCost, used granitehoist.Tokens, now time.Time) (urgent bool) {
	mustNotBeNegative(used)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(k)
	if a.reserved < maxCost {
		panic("budget: Settle of more tokens than are reserved")
	}
	a.reserved -= maxCost
	a.totals.Spent += used
	a.demand.spending.add(used, now)
	a.demand.largest = max(a.demand.largest, maxCost)
	a.changed = true
	a.serveWaiters()
	return a.hasUrgentSurplus()
}

// HasPending reports whether the next reports should not be delayed. This is so if requests
// of the box wait for tokens, or if the box has a surplus for which requests at other
// boxes may wait.
func (l *Ledger) HasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if len(a.demand.waiters) > 0 || a.hasUrgentSurplus() {
			return true
		}
	}
	return false
}

// waitingBudgets returns the budgets with waiting requests, in order.
func (l *Ledger) waitingBudgets() []granitehoist.BudgetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var waiting []granitehoist.BudgetID
	for k, a := range l.accounts {
		if len(a.demand.waiters) > 0 {
			waiting = append(waiting, k)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i] < waiting[j] })
	return waiting
}

// Close makes later reports return all free tokens. A closed Ledger accepts no grant and no
// loan, so that the region can revoke grants that the Ledger has not seen.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, a := range l.accounts {
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
// The box holds totals.Held() tokens, including reserved tokens. Only Ledger.Settle
// can make the free tokens negative, by a use beyond the reserved maximum cost. The box
// then serves no request of the budget until it has received more tokens.
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
// there was no reply.
type lastReply struct {
	received bool
	// receivedAt is when the reply arrived.
	receivedAt time.Time
	// target is the number of tokens that the box should hold.
	target granitehoist.Tokens
	// remaining is the number of tokens that the whole budget had left.
	remaining granitehoist.Tokens
	// lenders are the boxes of the region with the largest holdings.
	lenders []granitehoist.Incarnation
}

// demand describes what the box's requests need of a budget.
type demand struct {
	spending forecast
	// largest is the largest maximum cost of a request so far.
	largest granitehoist.Tokens
	// waiters are in order of arrival.
	waiters []*Waiter
}

// free returns the tokens that are held and not reserved.
func (a *account) free() granitehoist.Tokens { return a.totals.Held() - a.reserved }

// reserve reserves tokens and reports whether enough were free.
func (a *account) reserve(maxCost granitehoist.Tokens) bool {
	if a.free() < maxCost {
		return false
	}
	a.reserved += maxCost
	return true
}
