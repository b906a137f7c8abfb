// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"errors"
	"time"

	"granitehoist.example/granitehoist"
)

// errStalled is the cause with which a stallTimer cancels an attempt.
var errStalled = errors.New("no progress")

// stallTimer cancels an attempt that exceeds its stallLimits. The zero value
// never does. It is used by the goroutine of the attempt only.
type stallTimer struct {
	// timer is nil if the attempt has no limit.
	timer *time.Timer
	gap   time.Duration
}

// newStallTimer starts a timer that calls cancel, from a goroutine of its own,
// when the attempt makes no progress for too long.
func newStallTimer(limits stallLimits, cancel context.CancelCauseFunc) *stallTimer {
	if limits.first <= 0 {
		return &stallTimer{}
	}
	return &stallTimer{
		timer: time.AfterFunc(limits.first, func() { cancel(errStalled) }),
		gap:   limits.gap,
	}
}

// restart begins the wait for the next event. It is called for each event.
func (t *stallTimer) restart() {
	if t.timer != nil && t.gap > 0 {
		t.timer.Reset(t.gap)
	}
}

// stop ends the timer.
func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
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
