// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// Waiter is a request that waits for maxCost tokens. Done is closed once the tokens are
// reserved for the request or the budget is known to have too few. The lock of the Ledger
// guards the fields except Done.
type Waiter struct {
	Done    chan struct{}
	maxCost granitehoist.Tokens
	ended   bool
	granted bool
}

// finish closes Done. It must be called only once, with the lock of the Ledger held.
func (w *Waiter) finish(granted bool) {
	w.ended = true
	w.granted = granted
	close(w.Done)
}

// Outcome is the result of a wait.
type Outcome int

// Outcomes of a wait.
const (
	// Granted means that the tokens are reserved and must be settled.
	Granted Outcome = iota
	// Exhausted means that the budget has too few tokens left, or that a reply arrived
	// within Split.MaxWait before the end of the wait but the box got too few tokens.
	Exhausted
	// Unreachable means that no reply arrived within Split.MaxWait before the end of the wait.
	Unreachable
)

// remainingTTL is how long after a reply its remaining tokens are used to refuse requests
// at once, without a new report.
const remainingTTL = time.Second

// Wait returns a Waiter for maxCost tokens. Its Done is closed at once if the box has that
// many free tokens, which are then reserved, or if the budget is known to have too few. The
// caller must call EndWait. Wait panics if maxCost is negative.
func (l *Ledger) Wait(k granitehoist.BudgetID, maxCost granitehoist.Tokens, now time.Time) *Waiter {
	mustNotBeNegative(maxCost)
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &Waiter{Done: make(chan struct{}), maxCost: maxCost}
	a := l.account(k)
	switch {
	case a.reserve(maxCost):
		w.finish(true)
	case a.reply.provesExhausted(maxCost, now):
		w.finish(false)
	default:
		a.demand.waiters = append(a.demand.waiters, w)
		a.demand.largest = max(a.demand.largest, maxCost)
		a.changed = true
	}
	return w
}

// provesExhausted reports whether a request can be refused at once: a reply within
// remainingTTL said that the whole budget has fewer tokens than the request's maximum cost.
func (r lastReply) provesExhausted(maxCost granitehoist.Tokens, now time.Time) bool {
	return r.received && maxCost > r.remaining && now.Sub(r.receivedAt) < remainingTTL
}

// EndWait ends a wait and returns its outcome.
func (l *Ledger) EndWait(k granitehoist.BudgetID, w *Waiter, now time.Time) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(k)
	switch {
	case w.ended && w.granted:
		return Granted
	case w.ended:
		return Exhausted
	}
	a.removeWaiter(w)
	return a.reply.timeoutOutcome(l.split(k).MaxWait, now)
}

// timeoutOutcome returns the outcome of a wait that got no tokens in time. wait is the
// longest time that a request waits. A reply within this time before now means that the
// budget is exhausted; otherwise no Allocator could be reached.
func (r lastReply) timeoutOutcome(wait time.Duration, now time.Time) Outcome {
	if r.received && now.Sub(r.receivedAt) < wait {
		return Exhausted
	}
	return Unreachable
}

// removeWaiter removes a request from the waiting requests.
func (a *account) removeWaiter(w *Waiter) {
	a.demand.waiters = slices.DeleteFunc(a.demand.waiters, func(other *Waiter) bool { return other == w })
}

// serveWaiters reserves tokens for each waiting request that fits, in order of arrival.
func (a *account) serveWaiters() {
	if len(a.demand.waiters) == 0 {
		return
	}
	a.demand.waiters = slices.DeleteFunc(a.demand.waiters, func(w *Waiter) bool {
		reserved := a.reserve(w.maxCost)
		if reserved {
			w.finish(true)
		}
		return reserved
	})
}

// rejectWaiters ends the waits for more tokens than the whole budget has left.
func (a *account) rejectWaiters() {
	a.demand.waiters = slices.DeleteFunc(a.demand.waiters, func(w *Waiter) bool {
		tooLarge := w.maxCost > a.reply.remaining
		if tooLarge {
			w.finish(false)
		}
		return tooLarge
	})
}

// waiting returns the sum of the maximum costs of the waiting requests.
func (d *demand) waiting() granitehoist.Tokens {
	var sum granitehoist.Tokens
	for _, w := range d.waiters {
		sum += w.maxCost
	}
	return sum
}

// smallestWaiting returns the smallest maximum cost of a waiting request, or zero if no
// request waits.
func (d *demand) smallestWaiting() granitehoist.Tokens {
	var smallest granitehoist.Tokens
	for i, w := range d.waiters {
		if i == 0 || w.maxCost < smallest {
			smallest = w.maxCost
		}
	}
	return smallest
}
