// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
)

// Enter enters a request that waits, as Syncer.Reserve does, and returns where
// its outcome arrives.
func (l *Ledger) Enter(w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority, now time.Time) <-chan Outcome {
	return l.addWaiter(w, claim{bound: bound, priority: priority, countsAsDemand: true}, now).outcome
}

// Rounds is the state of a syncer's loop between the rounds that a test runs.
type Rounds struct{ state loopState }

// Run does what the loop of Syncer.Run does once.
func (r *Rounds) Run(s *Syncer) { s.runRound(context.Background(), &r.state) }

// RepaySurplus gives back what the syncer's ledger holds beyond its needs.
func RepaySurplus(s *Syncer) { s.repaySurplus(context.Background()) }

// Repay takes tokens off a ledger's own and returns what the receiver is told.
func Repay(l *Ledger, to granitehoist.Incarnation, w granitehoist.Workspace, tokens granitehoist.Tokens) RepayParams {
	return l.repay(to, surplus{w, tokens})
}

// CheckConservation checks for every workspace the conservation rule that owned
// states, where no request used more than its bound.
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
