// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// waiter is a request that waits for tokens.
type waiter struct {
	claim
	// outcome receives the one outcome of the wait. It is buffered, so that the
	// sender, who holds Ledger.mu, never blocks.
	outcome chan Outcome
}

// addWaiter queues a claim that was not granted. It grants the claim if admit
// allows it now, and refuses it if a source younger than remainingFresh says that
// waiting can't help. The first does not ask judgeEnd: a request that the end of
// the budget withholds is granted here if this router has the tokens free.
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
		if verdict := a.judgeWait(c, now); verdict.ends {
			added.outcome <- verdict.outcome
			return added
		}
	}
	a.waiters = append(a.waiters, added)
	return added
}

// abandon removes a waiter whose time is over, and returns the outcome that arrived
// in the meantime or else that of judgeTimeout.
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
	return judgeTimeout(l.contact.lastAnswer, now)
}

// wake grants the waiters that the rules admit now, the earliest first.
func (l *Ledger) wake(a *account, now time.Time) {
	a.endWaits(func(c claim) waitVerdict {
		if a.judgeEnd(c, now).withholds() || !l.reserveIfAdmitted(a, c, now) {
			return waitVerdict{}
		}
		return waitVerdict{ends: true, outcome: Granted}
	})
}

// refuseAndWake ends the waits that judgeWait refuses, and calls wake for the
// others.
func (l *Ledger) refuseAndWake(a *account, now time.Time) {
	a.endWaits(func(c claim) waitVerdict { return a.judgeWait(c, now) })
	l.wake(a, now)
}

// endWaits asks judge about each waiter, the earliest first, and removes those whose
// wait ends.
func (a *account) endWaits(judge func(claim) waitVerdict) {
	waiting := a.waiters[:0]
	for _, w := range a.waiters {
		if verdict := judge(w.claim); verdict.ends {
			w.outcome <- verdict.outcome
			continue
		}
		waiting = append(waiting, w)
	}
	clear(a.waiters[len(waiting):])
	a.waiters = waiting
}
