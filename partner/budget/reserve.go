// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
)

// Reserve sets bound tokens aside. If the box holds too few it waits for more
// for up to the split's Wait, or until ctx ends. Its errors are *Error with codes
// BudgetExhausted, BudgetUnreachable and DeadlineTooNear; nothing is reserved
// then. It panics if bound is negative.
func (a *Agent) Reserve(ctx context.Context, k granitehoist.BudgetID, bound granitehoist.Tokens) error {
	purse := a.settings.Purse
	if purse.Reserve(k, bound) {
		return nil
	}
	waiter := purse.Wait(k, bound, a.settings.Clock())
	a.kick()
	timer := time.NewTimer(purse.split(k).Wait)
	defer timer.Stop()
	select {
	case <-waiter.Done:
	case <-timer.C:
	case <-ctx.Done():
	}
	outcome := purse.EndWait(k, waiter, a.settings.Clock())
	if purse.Busy() {
		a.kick()
	}
	return outcomeError(ctx, outcome, k)
}

// unreachableRetry is the Retry-After of a request that was refused because no tokens of
// its budget could be fetched.
const unreachableRetry = 5 * time.Second

// outcomeError returns the error of a wait that ended, nil if tokens were
// granted.
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
	e.RetryAfter = unreachableRetry
	return e
}

// Settle ends a reservation, as Purse.Settle does. If the box now has tokens to
// give back that others may wait for, it sends them at once.
func (a *Agent) Settle(k granitehoist.BudgetID, bound, used granitehoist.Tokens) {
	if a.settings.Purse.Settle(k, bound, used, a.settings.Clock()) {
		a.kick()
	}
}
