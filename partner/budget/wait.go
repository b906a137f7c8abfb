// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Waiter is a request that waits for tokens. Done is closed when they are
// reserved for it or when the budget is known to have too few.
type Waiter struct {
	Done    chan struct{}
	bound   granitehoist.Tokens
	ended   bool
	granted bool
}

// leftFresh is how long the Keeper's word that a budget has too few tokens is
// taken for true without asking again.
const leftFresh = time.Second

// Wait reserves as Reserve does, or enters a Waiter that ends when tokens
// arrive or when the budget is known to have too few. The caller ends the wait
// with Abandon.
func (p *Purse) Wait(k granitehoist.BudgetID, bound granitehoist.Tokens, now time.Time) *Waiter {
	mustNotBeNegative(bound)
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &Waiter{Done: make(chan struct{}), bound: bound}
	a := p.account(k)
	switch {
	case a.reserve(bound):
		w.end(true)
	case a.hasTarget && bound > a.remaining && now.Sub(a.remainingAt) < leftFresh:
		w.end(false)
	default:
		a.waiters = append(a.waiters, w)
		a.largest = max(a.largest, bound)
		a.changed = true
	}
	return w
}

func (w *Waiter) end(granted bool) {
	w.ended = true
	w.granted = granted
	close(w.Done)
}

// Outcome tells how a wait ended.
type Outcome int

// The outcomes of a wait.
const (
	// Granted says that the tokens are reserved and are to be settled.
	Granted Outcome = iota
	// Exhausted says that the budget has too few tokens left.
	Exhausted
	// Unreachable says that no answer came while the request waited.
	Unreachable
)

// Abandon ends a wait and returns its outcome.
func (p *Purse) Abandon(k granitehoist.BudgetID, w *Waiter, now time.Time) Outcome {
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
	if a.hasTarget && now.Sub(a.remainingAt) < p.split(k).Wait {
		return Exhausted
	}
	return Unreachable
}

func (a *account) remove(w *Waiter) {
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// wake reserves for each waiter that fits, in the order of arrival.
func (a *account) wake() {
	remaining := a.waiters[:0]
	for _, w := range a.waiters {
		if a.reserve(w.bound) {
			w.end(true)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(a.waiters[len(remaining):])
	a.waiters = remaining
}

// refuse ends the waits that the whole budget can't serve.
func (a *account) refuse() {
	remaining := a.waiters[:0]
	for _, w := range a.waiters {
		if w.bound > a.remaining {
			w.end(false)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(a.waiters[len(remaining):])
	a.waiters = remaining
}

// waiting returns the sum of the bounds that requests wait for.
func (a *account) waiting() granitehoist.Tokens {
	var sum granitehoist.Tokens
	for _, w := range a.waiters {
		sum += w.bound
	}
	return sum
}

// smallestWaiting returns the smallest bound that a request waits for, zero if
// none waits.
func (a *account) smallestWaiting() granitehoist.Tokens {
	var least granitehoist.Tokens
	for i, w := range a.waiters {
		if i == 0 || w.bound < least {
			least = w.bound
		}
	}
	return least
}
