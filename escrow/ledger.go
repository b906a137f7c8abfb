// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Ledger is what one incarnation owns of each workspace's tokens. It makes no
// calls and is safe for concurrent use.
type Ledger struct {
	settings LedgerSettings

	// mu guards what follows. No call is made while it is held.
	mu       sync.Mutex
	accounts map[granitehoist.Workspace]*account
	// closing says that everything free is to be returned.
	closing bool
	// began is when the first request of any workspace came, zero before.
	began   time.Time
	contact contact
}

// LedgerSettings configure a Ledger.
type LedgerSettings struct {
	// Incarnation names this run of the router. No other run may ever have it.
	Incarnation granitehoist.Incarnation
	// Cover is the time of spending at the present rate that a router holds
	// tokens for; zero means DefaultCover.
	Cover time.Duration
	// Role returns this router's role for the workspaces of a shard; nil means Shares
	// for all. It is called with the ledger's lock held and must not call the ledger.
	Role func(Shard) Role
}

// NewLedger returns an empty ledger. It panics if the settings have no
// incarnation.
func NewLedger(s LedgerSettings) *Ledger {
	if s.Incarnation == "" {
		panic("escrow: ledger without incarnation")
	}
	defaults.Set(&s.Cover, DefaultCover)
	return &Ledger{settings: s, accounts: map[granitehoist.Workspace]*account{}}
}

// account returns the account of a workspace and creates it if there is none. The
// caller holds mu.
func (l *Ledger) account(w granitehoist.Workspace) *account {
	a, ok := l.accounts[w]
	if !ok {
		a = &account{}
		l.accounts[w] = a
	}
	return a
}

// SetLimit sets the prepaid total of a workspace, in tokens. After a reduction
// nothing is reserved until the record has been read under the new total.
func (l *Ledger) SetLimit(w granitehoist.Workspace, limit granitehoist.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if a.owned.setLimit(limit) {
		a.fleet.record.valid = false
		a.limitChanged = true
	}
}

// Reserve sets bound tokens aside, and reports whether the router owns that
// many and the rules of admission allow it. Each success is to be followed by one
// Settle. It panics if bound is negative.
func (l *Ledger) Reserve(w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority, now time.Time) bool {
	return l.reserve(w, claim{bound: bound, priority: priority, counts: true}, now)
}

// reserve is Reserve for a claim of any kind.
func (l *Ledger) reserve(w granitehoist.Workspace, c claim, now time.Time) bool {
	mustNotBeNegative(c.bound)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if l.began.IsZero() {
		l.began = now
	}
	if c.counts {
		a.demand.measure(c.bound, c.priority)
	}
	if a.judgeEnd(c, now).withholds() {
		return false
	}
	return l.reserveIfAdmitted(a, c, now)
}

// reserveIfAdmitted reserves for a claim if admit allows it; the caller holds mu.
// The bound of a request counts as demand until its use is known.
func (l *Ledger) reserveIfAdmitted(a *account, c claim, now time.Time) bool {
	forUrgent := reservedForUrgent(c.priority, a.demand.highestPriority, a.lastTarget, outageLeft(l.contact.silentSince, now))
	if admit(a.owned.free(), c.bound, forUrgent) != admitted {
		return false
	}
	a.owned.reserve(c.bound)
	if c.counts {
		a.demand.rate.add(c.bound, l.began, now)
	}
	if !c.loan {
		a.ration = a.ration.less(c.bound)
	}
	return true
}

// Settle ends a reservation of bound tokens with what was used. It panics if
// there is no such reservation or if used is negative.
func (l *Ledger) Settle(w granitehoist.Workspace, bound, used granitehoist.Tokens, now time.Time) {
	mustNotBeNegative(used)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	a.owned.settle(bound, used)
	a.demand.rate.add(used-bound, l.began, now)
	l.wake(a, now)
}

// Close makes the following syncs return everything that is free, and grants
// nothing more.
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

// State is what the router has of a workspace's tokens.
type State struct {
	Granted, Returned, Spent, Reserved granitehoist.Tokens
	// Free is what a request may reserve.
	Free granitehoist.Tokens
	// StoreRemaining is what the store had left when the record was last read.
	StoreRemaining granitehoist.Tokens
	// ReadAt is when that was, zero if never.
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

// isStoreSilent reports whether the last call to the store failed.
func (l *Ledger) isStoreSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact.isSilent()
}

// noteStoreAnswer notes that the store has answered this router.
func (l *Ledger) noteStoreAnswer(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.answeredDirectly(now)
}

// noteHolder notes whether a holder that this router asked is in touch with the
// store, which such a router does not call itself.
func (l *Ledger) noteHolder(w granitehoist.Workspace, inTouch bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.role(w, l.account(w), now) != Asks:
	case inTouch:
		l.contact.answeredThroughLender(now)
	default:
		l.contact.failed(now)
	}
}

// noteStoreFailure notes that a call to the store failed.
func (l *Ledger) noteStoreFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.failed(now)
}

// CutOffTime returns for how long the store has answered neither this router itself
// nor a holder that it asks; zero if it answers. Answer.Silent differs: an
// answer to any lender ends that silence.
func (l *Ledger) CutOffTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact.cutOffTime(now)
}

// NoteNeighbourCutOff records the CutOffTime that a neighbour reports of itself.
func (l *Ledger) NoteNeighbourCutOff(cutOff time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.noteNeighbourCutOff(cutOff, now)
}

// mustNotBeNegative panics if an amount is negative: the caller is at fault, and
// going on could create tokens.
func mustNotBeNegative(t granitehoist.Tokens) {
	if t < 0 {
		panic("escrow: negative amount")
	}
}
