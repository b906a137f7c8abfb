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

	mu       sync.Mutex
	accounts map[granitehoist.Workspace]*account
	closing  bool
	// began is when the first request came.
	began   time.Time
	contact contact
}

// LedgerSettings configure a Ledger.
type LedgerSettings struct {
	Incarnation granitehoist.Incarnation
	// Cover is the time of spending at the present rate that a router holds
	// tokens for; zero stands for DefaultCover.
	Cover time.Duration
}

// DefaultCover lasts through most outages of the store and loses little with a
// router that dies.
const DefaultCover = 9 * time.Second

// Parts of a budget.
const (
	// refillBelow is the part of the holding under which more is asked for.
	refillBelow = 0.75
	// joinBelow is the part under which a holding is filled when the record is
	// written anyway.
	joinBelow = 0.9
	// minReturnPart is the part of the budget below which it is not worth a write to
	// give tokens back.
	minReturnPart = 0.005
	// minReturnPartAtEnd stands for it when the store has less than endBelow of the
	// budget left: what each router keeps is then a good part of what there is.
	minReturnPartAtEnd = 0.0002
	endPart            = 0.02
	// returnAboveTarget is the multiple of the holding above which tokens are given
	// back.
	returnAboveTarget = 2.0
	// returnAboveTargetAfterOutage stands for returnAbove while holdings are kept low after an
	// outage.
	returnAboveTargetAfterOutage = 1.2
)

// Outcome tells how a reservation ended.
type Outcome int

// The outcomes.
const (
	// Granted says that the tokens are reserved and are to be settled.
	Granted Outcome = iota
	// Exhausted says that the budget has too few tokens left anywhere.
	Exhausted
	// Scarce says that too few can be had here now, though the budget may have
	// enough.
	Scarce
	// Withheld says that the request is too large for the little that is left.
	Withheld
	// Unreachable says that too few are here and the store does not answer.
	Unreachable
)

// String returns the name of an outcome as logs show it.
func (o Outcome) String() string {
	return [...]string{"granted", "exhausted", "scarce", "withheld", "unreachable"}[o]
}

// Answer is what a request for tokens was told, and what was known then.
type Answer struct {
	Outcome Outcome
	// Free is what the router still owns, Rest what the store had left when it
	// was last read, Age ago.
	Free           granitehoist.Tokens
	StoreRemaining granitehoist.Tokens
	Age            time.Duration
	// Silent is how long the store has not answered, zero if it does.
	Silent time.Duration
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

func (l *Ledger) account(w granitehoist.Workspace) *account {
	a, ok := l.accounts[w]
	if !ok {
		a = &account{}
		l.accounts[w] = a
	}
	return a
}

// SetLimit sets the prepaid total of a workspace. After a reduction nothing is
// reserved until the record has been read under the new total.
func (l *Ledger) SetLimit(w granitehoist.Workspace, limit granitehoist.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if a.owned.setLimit(limit) {
		a.fleet.record.valid = false
		a.changed = true
	}
}

// wait enters a request that waits for tokens. If the budget is known to have
// too few it ends at once.
func (l *Ledger) wait(w granitehoist.Workspace, d claim, now time.Time) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	added := &waiter{claim: d, outcome: make(chan Outcome, 1)}
	if l.take(a, d, now) {
		added.outcome <- Granted
		return added
	}
	if a.fleet.isFresh(now) && a.unservable(d, now) {
		added.outcome <- a.refusal(d, now)
		return added
	}
	a.waiters = append(a.waiters, added)
	return added
}

// unservable reports whether waiting can't help a demand. A router that does not
// read the record asks its neighbours for what they have idle.
func (a *account) unservable(d claim, now time.Time) bool {
	if a.tapered(d, now) {
		return true
	}
	if a.fleet.lenderIsNewer() {
		return d.bound > a.fleet.leftAnywhere(a.owned.unreserved()).tokens
	}
	return a.fleet.record.valid && d.bound > a.fleet.record.remaining+max(0, a.owned.unreserved())
}

// refusal tells why a demand can't be met.
func (a *account) refusal(d claim, now time.Time) Outcome {
	left := a.fleet.leftAnywhere(a.owned.unreserved())
	switch {
	case left.reported && d.bound > left.tokens:
		return Exhausted
	case a.tapered(d, now):
		return Withheld
	}
	return Scarce
}

// abandon ends a wait that nothing answered in time.
func (l *Ledger) abandon(w granitehoist.Workspace, abandoned *waiter, now time.Time) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case outcome := <-abandoned.outcome:
		return outcome
	default:
	}
	a := l.account(w)
	for i, other := range a.waiters {
		if other == abandoned {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			break
		}
	}
	if now.Sub(l.contact.lastAnswer) > unreachableAfter {
		return Unreachable
	}
	return Scarce
}

// unreachableAfter is how long the store may be silent while requests wait
// before it is said not to answer.
const unreachableAfter = 100 * time.Millisecond

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

// wake reserves for the waiters that fit, the earlier ones first.
func (l *Ledger) wake(a *account, now time.Time) {
	waiting := a.waiters[:0]
	for _, w := range a.waiters {
		if !a.tapered(w.claim, now) && l.take(a, w.claim, now) {
			w.outcome <- Granted
			continue
		}
		waiting = append(waiting, w)
	}
	clear(a.waiters[len(waiting):])
	a.waiters = waiting
}

// refuse ends the waits that what is left can't serve.
func (l *Ledger) refuse(a *account, now time.Time) {
	waiting := a.waiters[:0]
	for _, w := range a.waiters {
		if a.unservable(w.claim, now) {
			w.outcome <- a.refusal(w.claim, now)
			continue
		}
		waiting = append(waiting, w)
	}
	clear(a.waiters[len(waiting):])
	a.waiters = waiting
	l.wake(a, now)
}

// Close makes the following syncs return everything that is free, and grants
// nothing more.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
}

func (l *Ledger) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// answer returns what is known of a workspace beside an outcome.
func (l *Ledger) answer(w granitehoist.Workspace, o Outcome, now time.Time) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	answer := Answer{Outcome: o, Free: a.owned.free(), StoreRemaining: a.fleet.record.remaining}
	if !a.fleet.record.readAt.IsZero() {
		answer.Age = now.Sub(a.fleet.record.readAt)
	}
	answer.Silent = l.contact.silence(now)
	return answer
}

// State is what the router has of a workspace's tokens.
type State struct {
	Granted, Returned, Spent, Reserved granitehoist.Tokens
	// Free is what a request may reserve.
	Free granitehoist.Tokens
	// StoreRemaining is what the store was last known to have left.
	StoreRemaining granitehoist.Tokens
	// ReadAt is when Rest was read.
	ReadAt  time.Time
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

func mustNotBeNegative(t granitehoist.Tokens) {
	if t < 0 {
		panic("escrow: negative amount")
	}
}
