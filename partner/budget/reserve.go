// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
)

// Reserve reserves maxCost tokens. If the box holds too few, it waits for more for up to
// Split.MaxWait or until ctx is done. Its errors are of type *granitehoist.Error with the codes
// BudgetExhausted, BudgetUnreachable and DeadlineTooNear; nothing is reserved then. It
// panics if maxCost is negative.
func (a *Agent) Reserve(ctx context.Context, k granitehoist.BudgetID, maxCost granitehoist.Tokens) error {
	ledger := a.settings.Ledger
	if ledger.Reserve(k, maxCost) {
		return nil
	}
	waiter := ledger.Wait(k, maxCost, a.settings.Clock())
	a.wake()
	timer := time.NewTimer(ledger.split(k).MaxWait)
	defer timer.Stop()
	select {
	case <-waiter.Done:
	case <-timer.C:
	case <-ctx.Done():
	}
	outcome := ledger.EndWait(k, waiter, a.settings.Clock())
	if ledger.HasPending() {
		a.wake()
	}
	return outcomeError(ctx, outcome, k)
}

// unreachableRetryAfter is the Retry-After of a request refused with BudgetUnreachable.
const unreachableRetryAfter = 5 * time.Second

// outcomeError returns the error for the outcome of a wait, or nil for Granted.
func outcomeError(ctx context.Context, o Outcome, k granitehoist.BudgetID) error {
	switch {
	case o == Granted:
		return nil
	case o == Exhausted:
		return granitehoist.Errorf(granitehoist.BudgetExhausted, "budget %s", k)
	case ctx.Err() != nil:
		return granitehoist.Errorf(granitehoist.DeadlineTooNear, "while waiting for tokens of budget %s", k)
	}
	e := granitehoist.Errorf(granitehoist.BudgetUnreachable, "budget %s", k)
	e.RetryAfter = unreachableRetryAfter
	return e
}

// Settle ends a reservation, as Ledger.Settle does, and starts a round of reports at once if
// the box should return tokens that requests at other boxes may wait for.
func (a *Agent) Settle(k granitehoist.BudgetID, maxCost, used granitehoist.Tokens) {
	if a.settings.Ledger.Settle(k, maxCost, used, a.settings.Clock()) {
		a.wake()
	}
}
