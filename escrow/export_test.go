// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
)

// AddWaiter queues a waiting request, as Syncer.Reserve does, and returns the channel of
// its outcome.
func (l *Ledger) AddWaiter(w granitehoist.Workspace, maxCost granitehoist.Tokens, priority granitehoist.Priority, now time.Time) <-chan Outcome {
	return l.addWaiter(w, claim{maxCost: maxCost, priority: priority, countsAsDemand: true}, now).outcome
}

// Loop is the state of Syncer.Run between rounds that a test runs.
type Loop struct{ state loopState }

// RunRound runs one round of Syncer.Run.
func (r *Loop) RunRound(s *Syncer) { s.runRound(context.Background(), &r.state) }

// RepaySurplus repays the syncer's surplus tokens.
func RepaySurplus(s *Syncer) { s.repaySurplus(context.Background()) }

// Repay deducts tokens from a ledger and returns the message to the receiver.
func Repay(l *Ledger, to granitehoist.Incarnation, w granitehoist.Workspace, tokens granitehoist.Tokens) RepayParams {
	return l.repay(to, surplus{w, tokens}, time.Now())
}

// CheckConservation checks the conservation rule of owned for every workspace. It
// requires that no request used more than its maximum cost.
func CheckConservation(l *Ledger) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w, a := range l.accounts {
		if err := a.owned.check(); err != nil {
			return fmt.Errorf("%s: %w", w, err)
		}
	}
	return nil
}

func (o *owned) check() error {
	lowest := min(o.granted, o.returned, o.spent, o.reserved)
	for _, loans := range []map[granitehoist.Incarnation]granitehoist.Tokens{o.lent, o.borrowed} {
		for _, loan := range loans {
			lowest = min(lowest, loan)
		}
	}
	if sumOf(o.lent) != o.lentSum || sumOf(o.borrowed) != o.borrowedSum {
		return fmt.Errorf("the sums %d lent and %d borrowed are wrong", o.lentSum, o.borrowedSum)
	}
	if lowest < 0 {
		return fmt.Errorf("a total is %d", lowest)
	}
	if missing := -o.unreserved(); missing > 0 {
		return fmt.Errorf("%d tokens are spent, reserved, returned or lent that were never owned", missing)
	}
	return nil
}

func sumOf(loans map[granitehoist.Incarnation]granitehoist.Tokens) granitehoist.Tokens {
	var total granitehoist.Tokens
	for _, loan := range loans {
		total += loan
	}
	return total
}
