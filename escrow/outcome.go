// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Outcome is the result of a reservation.
type Outcome int

// The outcomes.
const (
	// Granted means that the tokens are reserved. The caller must settle them.
	Granted Outcome = iota
	// Exhausted means that too few tokens are left in the store and at all routers
	// together. See decideWait.
	Exhausted
	// Scarce means that this router could not get enough tokens, though the budget may
	// have enough and the store responds. See decideWait and timeoutOutcome.
	Scarce
	// Withheld means that the budget is near its end and the request is too large for
	// the remainder. See lowBudgetRules.decide.
	Withheld
	// Unreachable means that this router has too few tokens and the store does not
	// respond. See timeoutOutcome.
	Unreachable
)

// String returns the name of an outcome as logs show it.
func (o Outcome) String() string {
	return [...]string{"granted", "exhausted", "scarce", "withheld", "unreachable"}[o]
}

// Answer is the outcome of a reservation, with the state of the budget as this router
// knew it then.
type Answer struct {
	Outcome Outcome
	// Free is how many tokens a request could still reserve at this router.
	Free granitehoist.Tokens
	// StoreRemaining is what the store had left by the newest report, of the record or
	// of a lender, and Age the age of that report; both are zero if there was none.
	StoreRemaining granitehoist.Tokens
	Age            time.Duration
	// StoreUnresponsiveFor is for how long the store has responded neither to this router
	// nor to a lender that reported to this router; zero if the store responds.
	StoreUnresponsiveFor time.Duration
}

// answer returns an outcome with what this router knows of the workspace's budget.
func (l *Ledger) answer(w granitehoist.Workspace, o Outcome, now time.Time) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	answer := Answer{Outcome: o, Free: a.owned.free()}
	answer.StoreRemaining, answer.Age = a.fleet.reported(now)
	answer.StoreUnresponsiveFor = l.health.unresponsiveFor(now)
	return answer
}
