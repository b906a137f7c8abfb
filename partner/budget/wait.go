// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// Waiter is a request that waits for tokens. Done is closed when they are
// reserved for it or when the budget has too few. The lock of the purse guards
// the other fields.
type Waiter struct {
	Done    chan struct{}
	bound   granitehoist.Tokens
	ended   bool
	granted bool
}

// end closes Done. It is called once, under the lock of the purse.
func (w *Waiter) end(granted bool) {
	w.ended = true
	w.granted = granted
	close(w.Done)
}

// Outcome is how a wait ended.
type Outcome int

// The outcomes of a wait.
const (
	// Granted says that the tokens are reserved and must be settled.
	Granted Outcome = iota
	// Exhausted says that the budget has too few tokens left.
	Exhausted
	// Unreachable says that no answer came while the request waited.
	Unreachable
)

// remainingFresh is how long the Keeper's statement that a budget has too few tokens
// refuses further requests without asking again.
const remainingFresh = time.Second

// Wait reserves as Reserve does, or returns a Waiter that ends when tokens
// arrive or when the budget is found to have too few. The caller must end the
// wait with EndWait. It panics if bound is negative.
func (p *Purse) Wait(k granitehoist.BudgetID, bound granitehoist.Tokens, now time.Time) *Waiter {
	mustNotBeNegative(bound)
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &Waiter{Done: make(chan struct{}), bound: bound}
	a := p.account(k)
	switch {
	case a.reserve(bound):
		w.end(true)
	case a.reply.exhausts(bound, now):
		w.end(false)
	default:
		a.demand.waiters = append(a.demand.waiters, w)
		a.demand.largest = max(a.demand.largest, bound)
		a.changed = true
	}
	return w
}

// exhausts decides whether a request is refused at once: the Keeper said within
// remainingFresh that the whole budget has fewer tokens than the request's
// bound.
func (r lastReply) exhausts(bound granitehoist.Tokens, now time.Time) bool {
	return r.received && bound > r.remaining && now.Sub(r.at) < remainingFresh
}

// EndWait ends a wait and returns its outcome.
func (p *Purse) EndWait(k granitehoist.BudgetID, w *Waiter, now time.Time) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(k)
	switch {
	case w.ended && w.granted:
		return Granted
	case w.ended:
		return Exhausted
	}
	a.remove(w)
	return a.reply.unservedOutcome(p.split(k).Wait, now)
}

// unservedOutcome decides the outcome for a request that got no tokens in time. If
// the Keeper replied during the wait, it granted too little and the budget is
// exhausted; otherwise no keeper could be reached.
func (r lastReply) unservedOutcome(wait time.Duration, now time.Time) Outcome {
	if r.received && now.Sub(r.at) < wait {
		return Exhausted
	}
	return Unreachable
}

// remove takes a request out of those that wait.
func (a *account) remove(w *Waiter) {
	a.demand.waiters = slices.DeleteFunc(a.demand.waiters, func(other *Waiter) bool { return other == w })
}

// wake reserves for each waiting request that fits, in the order of arrival.
func (a *account) wake() {
	if len(a.demand.waiters) == 0 {
		return
	}
	a.demand.waiters = slices.DeleteFunc(a.demand.waiters, func(w *Waiter) bool {
		reserved := a.reserve(w.bound)
		if reserved {
			w.end(true)
		}
		return reserved
	})
}

// refuse ends the waits that the whole budget can't serve.
func (a *account) refuse() {
	a.demand.waiters = slices.DeleteFunc(a.demand.waiters, func(w *Waiter) bool {
		tooLarge := w.bound > a.reply.remaining
		if tooLarge {
			w.end(false)
		}
		return tooLarge
	})
}

// waiting returns the sum of the bounds that requests wait for.
func (d *demand) waiting() granitehoist.Tokens {
	var sum granitehoist.Tokens
	for _, w := range d.waiters {
		sum += w.bound
	}
	return sum
}

// smallestWaiting returns the smallest bound that a request waits for, zero if
// none waits.
func (d *demand) smallestWaiting() granitehoist.Tokens {
	var smallest granitehoist.Tokens
	for i, w := range d.waiters {
		if i == 0 || w.bound < smallest {
			smallest = w.bound
		}
	}
	return smallest
}
