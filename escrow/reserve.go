// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Reserve sets bound tokens aside, and reports whether the router owns that
// many. While the store is silent, a part of what is left is kept for requests
// of a higher priority. Each success is to be followed by one Settle. It panics
// if bound is negative.
func (l *Ledger) Reserve(w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority, now time.Time) bool {
	return l.reserve(w, claim{bound: bound, priority: priority}, now)
}

func (l *Ledger) reserve(w granitehoist.Workspace, d claim, now time.Time) bool {
	mustNotBeNegative(d.bound)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if l.began.IsZero() {
		l.began = now
	}
	if !d.loan {
		a.demand.measure(d.bound, d.priority)
	}
	if a.tapered(d, now) {
		return false
	}
	return l.take(a, d, now)
}

// take reserves for a demand if there is enough. The most that a request can cost
// counts as demand until it is known what it did.
func (l *Ledger) take(a *account, d claim, now time.Time) bool {
	if !a.reserve(d.bound, a.reservedForUrgent(d.priority, l.contact.outageLeft(now))) {
		return false
	}
	if !d.loan {
		a.demand.rate.add(d.bound, l.began, now)
		a.ration.spend(d.bound)
	}
	return true
}

func (a *account) reserve(bound, reservedForUrgent granitehoist.Tokens) bool {
	if a.owned.free() < bound+reservedForUrgent {
		return false
	}
	a.owned.reserve(bound)
	return true
}

// urgentPart of a holding is kept for each step of priority.
const urgentPart = 0.3

// reservedForUrgent returns the tokens that a request of a priority leaves to higher ones.
func (a *account) reservedForUrgent(priority granitehoist.Priority, outageLeft float64) granitehoist.Tokens {
	steps := float64(max(0, a.demand.highestPriority-priority))
	return granitehoist.Tokens(min(1, urgentPart*steps) * outageLeft * float64(a.lastTarget))
}
