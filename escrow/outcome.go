// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Outcome is how a reservation ended.
type Outcome int

// The outcomes.
const (
	// Granted says that the tokens are reserved. The caller must settle them.
	Granted Outcome = iota
	// Exhausted says that the budget has too few tokens left in the store and at
	// all routers together. See judgeWait.
	Exhausted
	// Scarce says that this router could not get enough tokens, though the budget
	// may have enough and the store answers. See judgeWait and judgeTimeout.
	Scarce
	// Withheld says that the budget is near its end and the request is too large
	// for what is left. See budgetEnd.judge.
	Withheld
	// Unreachable says that this router has too few tokens and the store does not
	// answer. See judgeTimeout.
	Unreachable
)

// String returns the name of an outcome as logs show it.
func (o Outcome) String() string {
	return [...]string{"granted", "exhausted", "scarce", "withheld", "unreachable"}[o]
}

// Answer is the outcome of a request for tokens, with what the router knew then.
type Answer struct {
	Outcome Outcome
	// Free is what a request could still reserve here.
	Free granitehoist.Tokens
	// StoreRemaining is what the store had left by the newest report, of the record
	// itself or of a lender, Age ago; both are zero if there was none.
	StoreRemaining granitehoist.Tokens
	Age            time.Duration
	// Silent is for how long the store has answered neither this router nor a
	// lender that reported to it; zero if it answers.
	Silent time.Duration
}

// answer returns an outcome with what the router knows of the workspace.
func (l *Ledger) answer(w granitehoist.Workspace, o Outcome, now time.Time) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	answer := Answer{Outcome: o, Free: a.owned.free()}
	answer.StoreRemaining, answer.Age = a.fleet.reported(now)
	answer.Silent = l.contact.silence(now)
	return answer
}
