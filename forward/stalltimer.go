// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// errStalled is the cause with which a stallTimer cancels an attempt.
var errStalled = errors.New("no progress")

// stallTimer cancels an attempt that exceeds its stallLimits, if the retry budget allows
// another attempt. Otherwise the stalled attempt continues. The zero value never cancels.
// Only the goroutine of the attempt calls its methods, except fire.
type stallTimer struct {
	limits stallLimits
	// takeRetry takes a retry from the budget and reports whether one was available.
	takeRetry func() bool
	ctx       context.Context
	cancel    context.CancelCauseFunc

	// mu guards the following fields against the timer's goroutine.
	mu sync.Mutex
	// timer is nil if the attempt has no limit, and after stop.
	timer *time.Timer
	// retryTaken is set once a retry was taken and the attempt was cancelled.
	retryTaken bool
}

// newStallTimer starts the timer of an attempt that ends with ctx. If the attempt stalls,
// the timer calls takeRetry and then cancel from another goroutine.
func newStallTimer(ctx context.Context, limits stallLimits, takeRetry func() bool, cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{limits: limits, takeRetry: takeRetry, ctx: ctx, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if limits.first > 0 {
		t.timer = time.AfterFunc(limits.first, t.fire)
	}
	return t
}

// retryBudgetPoll is the interval at which a stalled attempt checks again whether the retry
// budget has a retry. At half of it the budget is asked twice as often; at twice of it a
// caller waits longer for a retry that can be paid for.
const retryBudgetPoll = 200 * time.Millisecond

// fire cancels the attempt if a retry is available, and otherwise checks again later.
func (t *stallTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.timer == nil, t.ctx.Err() != nil:
	case t.takeRetry():
		t.retryTaken = true
		t.cancel(errStalled)
	default:
		t.timer.Reset(retryBudgetPoll)
	}
}

// restart starts the wait for the next event. It is called whenever events have arrived.
func (t *stallTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && t.limits.gap > 0 {
		t.timer.Reset(t.limits.gap)
	}
}

// stop stops the timer and reports whether a retry was taken.
func (t *stallTimer) stop() (taken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	return t.retryTaken
}

// attemptError returns the error of an attempt, with code UpstreamLost if the attempt was
// cancelled because it stalled. The error of an attempt that was not sent is unchanged,
// since the attempt did not run.
func (t *stallTimer) attemptError(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errStalled) || isUnsent(err) {
		return err
	}
	return granitehoist.Wrap(granitehoist.UpstreamLost, err, "no progress")
}
