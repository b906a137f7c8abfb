// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// waiter is a claim that waits for tokens.
type waiter struct {
	claim
	// outcome receives the outcome of the wait. It is buffered, so that the sender,
	// which holds Ledger.mu, never blocks.
	outcome chan Outcome
}

// addWaiter queues a claim that was not granted before, unless the wait can end at once:
//
//   - If admit allows the claim now, it is granted, even if checkLowBudget would withhold
//     it.
//   - If the record or a lender's report is younger than maxReportAge, and checkWait
//     ends the wait, the claim is refused.
func (l *Ledger) addWaiter(w granitehoist.Workspace, c claim, now time.Time) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	added := &waiter{claim: c, outcome: make(chan Outcome, 1)}
	if l.reserveIfAdmitted(a, c, now) {
		added.outcome <- Granted
		return added
	}
	if a.fleet.isFresh(now) {
		if decision := a.checkWait(c, now); decision.ends {
			added.outcome <- decision.outcome
			return added
		}
	}
	a.waiters = append(a.waiters, added)
	return added
}

// abandon removes a waiter whose wait ended without an outcome, and returns the result of
// timeoutOutcome. If an outcome has arrived in the meantime, it returns that outcome.
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
	return timeoutOutcome(l.health.lastResponse, now)
}

// admitWaiters grants the waiters that are admitted now, in order of arrival.
func (l *Ledger) admitWaiters(a *account, now time.Time) {
	a.resolveWaiters(func(c claim) waitDecision {
		if a.checkLowBudget(c, now).withholds() || !l.reserveIfAdmitted(a, c, now) {
			return waitDecision{}
		}
		return waitDecision{ends: true, outcome: Granted}
	})
}

// refuseAndAdmitWaiters refuses the waiters whose wait checkWait ends, and calls
// admitWaiters for the remaining ones.
func (l *Ledger) refuseAndAdmitWaiters(a *account, now time.Time) {
	a.resolveWaiters(func(c claim) waitDecision { return a.checkWait(c, now) })
	l.admitWaiters(a, now)
}

// resolveWaiters calls decide for each waiter in order of arrival, and removes those
// whose wait ends.
func (a *account) resolveWaiters(decide func(claim) waitDecision) {
	waiting := a.waiters[:0]
	for _, w := range a.waiters {
		if decision := decide(w.claim); decision.ends {
			w.outcome <- decision.outcome
			continue
		}
		waiting = append(waiting, w)
	}
	clear(a.waiters[len(waiting):])
	a.waiters = waiting
}
