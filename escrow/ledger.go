// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Ledger holds the tokens that one incarnation owns of each workspace. It makes no calls
// and is safe for concurrent use.
type Ledger struct {
	settings LedgerSettings

	// mu guards the fields below. No call is made while it is held.
	mu       sync.Mutex
	accounts map[granitehoist.Workspace]*account
	// closing is set by Close.
	closing bool
	// firstRequestAt is when the first request of any workspace arrived, zero before.
	firstRequestAt time.Time
	health         storeHealth
	// era is the store's latest era.
	era granitehoist.Era
}

// LedgerSettings configure a Ledger.
type LedgerSettings struct {
	// Incarnation identifies this run of the router. It must never be reused.
	Incarnation granitehoist.Incarnation
	// Cover is how long the holdings should last at the present rate of spending; zero
	// means DefaultCover.
	Cover time.Duration
	// LossWindow is the greatest age of the copies from which the store may return, the
	// same at all routers; zero means DefaultLossWindow, negative means NoLossWindow.
	LossWindow time.Duration
	// Machine is the machine of this run.
	Machine Machine
	// Role returns this router's role for the workspaces of a shard; nil means RoleDirect
	// for all. It is called with the ledger's lock held and must not call the ledger.
	Role func(Shard) Role
}

// NewLedger returns an empty ledger. It panics if the settings have no incarnation.
func NewLedger(s LedgerSettings) *Ledger {
	if s.Incarnation == "" {
		panic("escrow: ledger without incarnation")
	}
	defaults.Set(&s.Cover, DefaultCover)
	defaults.Set(&s.LossWindow, DefaultLossWindow)
	return &Ledger{settings: s, accounts: map[granitehoist.Workspace]*account{}}
}

// account returns the account of a workspace and creates it if there is none. The caller
// holds mu.
func (l *Ledger) account(w granitehoist.Workspace) *account {
	a, ok := l.accounts[w]
	if !ok {
		a = &account{}
		l.accounts[w] = a
	}
	return a
}

// SetLimit sets the prepaid total of a workspace, in tokens. After a reduction nothing
// is reserved until the record has been read under the new total.
func (l *Ledger) SetLimit(w granitehoist.Workspace, limit granitehoist.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if a.owned.setLimit(limit) {
		a.fleet.record.valid = false
		a.limitChanged = true
	}
}

// Reserve reserves maxCost tokens, and reports whether it did: the router must have that
// many free tokens, and the admission and low-budget rules must allow the request. Each
// success must be followed by one Settle. It panics if maxCost is negative.
func (l *Ledger) Reserve(w granitehoist.Workspace, maxCost granitehoist.Tokens, priority granitehoist.Priority, now time.Time) bool {
	return l.reserve(w, claim{maxCost: maxCost, priority: priority, countsAsDemand: true}, now)
}

// reserve implements Reserve for any claim.
func (l *Ledger) reserve(w granitehoist.Workspace, c claim, now time.Time) bool {
	requireNonNegative(c.maxCost)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if l.firstRequestAt.IsZero() {
		l.firstRequestAt = now
	}
	if c.countsAsDemand {
		a.demand.observe(c.maxCost, c.priority)
	}
	if a.checkLowBudget(c, now).withholds() {
		return false
	}
	return l.reserveIfAdmitted(a, c, now)
}

// reserveIfAdmitted reserves tokens for a claim if admit allows it. The maximum cost of a
// request counts as demand until Settle records its use. The caller holds mu.
func (l *Ledger) reserveIfAdmitted(a *account, c claim, now time.Time) bool {
	reserve := priorityReserve(c.priority, a.demand.highestPriority, a.lastTarget, outageRemaining(l.health.unresponsiveSince, now))
	if admit(a.free(l.settings.Machine, now), c.maxCost, reserve) != admitted {
		return false
	}
	a.owned.reserve(c.maxCost)
	if c.countsAsDemand {
		a.demand.rate.add(c.maxCost, l.firstRequestAt, now)
	}
	if !c.isLoan {
		a.ration = a.ration.minus(c.maxCost)
	}
	return true
}

// Settle ends a reservation of maxCost tokens and records the tokens used. It panics if
// there is no such reservation or if used is negative.
func (l *Ledger) Settle(w granitehoist.Workspace, maxCost, used granitehoist.Tokens, now time.Time) {
	requireNonNegative(used)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	a.owned.settle(maxCost, used)
	a.demand.rate.add(used-maxCost, l.firstRequestAt, now)
	l.admitWaiters(a, now)
}

// Close makes the following syncs return all free tokens, and stops grants.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
}

// isClosing reports whether Close was called.
func (l *Ledger) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// State is a snapshot of a workspace's tokens at this router.
type State struct {
	Granted, Returned, Spent, Reserved granitehoist.Tokens
	// Free is what a request may reserve.
	Free granitehoist.Tokens
	// StoreRemaining is what the store had left when the record was last read.
	StoreRemaining granitehoist.Tokens
	// ReadAt is when the record was last read, zero if never.
	ReadAt time.Time
	// Waiting is the number of requests that wait for tokens.
	Waiting int
}

// State returns the state of one workspace.
func (l *Ledger) State(w granitehoist.Workspace) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	return State{
		Granted: a.owned.granted, Returned: a.owned.returned, Spent: a.owned.spent, Reserved: a.owned.reserved,
		Free: a.owned.free(), StoreRemaining: a.fleet.record.remaining, ReadAt: a.fleet.record.readAt, Waiting: len(a.waiters),
	}
}

// NoteEra records the store's era. In a later era this router writes its rows again, since
// the store may have lost them.
func (l *Ledger) NoteEra(era granitehoist.Era) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era = max(l.era, era)
}

// currentEra returns the store's latest era, given that of a record. The record of a missing
// key has none.
func (l *Ledger) currentEra(ofRecord granitehoist.Era) granitehoist.Era {
	l.NoteEra(ofRecord)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// isCeilingBound reports whether requests wait that a ceiling keeps from tokens of the store.
func (l *Ledger) isCeilingBound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.ceilingBound && len(a.waiters) > 0 {
			return true
		}
	}
	return false
}

// isStoreUnresponsive reports whether a call to the store has failed since its last
// response.
func (l *Ledger) isStoreUnresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.isUnresponsive()
}

// noteStoreResponse records that the store responded to this router.
func (l *Ledger) noteStoreResponse(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.noteDirectResponse(now)
}

// noteHolderStatus records whether a holder that this borrower called is connected to
// the store. Other roles call the store themselves and ignore it.
func (l *Ledger) noteHolderStatus(w granitehoist.Workspace, storeConnected bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.role(w, l.account(w), now).borrows():
	case storeConnected:
		l.health.noteHolderResponse(now)
	default:
		l.health.noteFailure(now)
	}
}

// noteStoreFailure records that a call to the store failed.
func (l *Ledger) noteStoreFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.noteFailure(now)
}

// StoreUnreachableFor returns for how long the store has responded neither to this
// router itself nor to a holder that it borrows from; zero if it responds.
// Answer.StoreUnresponsiveFor differs: a response to any lender resets it.
func (l *Ledger) StoreUnreachableFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.unreachableFor(now)
}

// NoteNeighbourUnreachableFor records the StoreUnreachableFor that a neighbour reports.
func (l *Ledger) NoteNeighbourUnreachableFor(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.noteNeighbourUnreachableFor(d, now)
}

// requireNonNegative panics if an amount is negative, which is a bug of the caller and
// could create tokens.
func requireNonNegative(t granitehoist.Tokens) {
	if t < 0 {
		panic("escrow: negative amount")
	}
}
