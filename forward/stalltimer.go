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

// stallTimer cancels an attempt that exceeds its stallLimits, if the retry budget
// pays for another: a slow answer is better than none. The zero value never
// cancels. Its methods are called by the goroutine of the attempt only.
type stallTimer struct {
	limits stallLimits
	// payForRetry takes a retry from the budget and reports whether there was one.
	payForRetry func() bool
	ctx         context.Context
	cancel      context.CancelCauseFunc

	// mu guards what follows against the timer's own goroutine.
	mu sync.Mutex
	// timer is nil if the attempt has no limit, and after stop.
	timer *time.Timer
	// paid says that a retry was taken, and the attempt cancelled.
	paid bool
}

// newStallTimer starts the timer of an attempt that ends with ctx. When the attempt
// makes no progress for too long it calls payForRetry and cancel, both from a
// goroutine of its own.
func newStallTimer(ctx context.Context, limits stallLimits, payForRetry func() bool, cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{limits: limits, payForRetry: payForRetry, ctx: ctx, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if limits.first > 0 {
		t.timer = time.AfterFunc(limits.first, t.fire)
	}
	return t
}

// unpaidPause is how long a stalled attempt goes on before the retry budget is asked
// again. At half of it the budget is asked twice as often, at twice a caller waits longer
// for a retry that can be paid for.
const unpaidPause = 200 * time.Millisecond

// fire ends the attempt if a retry is paid for, and looks again later if not.
func (t *stallTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.timer == nil, t.ctx.Err() != nil:
	case t.payForRetry():
		t.paid = true
		t.cancel(errStalled)
	default:
		t.timer.Reset(unpaidPause)
	}
}

// restart begins the wait for the next event. It is called for each event.
func (t *stallTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && t.limits.gap > 0 {
		t.timer.Reset(t.limits.gap)
	}
}

// stop ends the timer and reports whether a retry was paid for.
func (t *stallTimer) stop() (paid bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	return t.paid
}

// attemptError returns the error of an attempt, with code UpstreamLost if a stall
// ended it. An attempt that was never sent keeps its UpstreamRefused, since it
// did not run.
func (t *stallTimer) attemptError(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errStalled) || granitehoist.CodeOf(err) == granitehoist.UpstreamRefused {
		return err
	}
	return granitehoist.Wrap(granitehoist.UpstreamLost, err, "no progress")
}
