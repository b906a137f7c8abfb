// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"time"

	"granitehoist.example/granitehoist/internal/pause"
)

// waitReason is why a request can't be sent yet.
type waitReason struct {
	// left is the time after which the reason may no longer hold, zero if unknown.
	left time.Duration
	// changed, if not nil, is closed when the reason may no longer hold.
	changed <-chan struct{}
	// refusal returns the error of a request that can't wait.
	refusal func() error
}

// waitUntilReady calls check repeatedly until check returns no reason to wait or an error,
// which it returns. Between the calls it waits, for maxWait in total. It returns the
// refusal of the reason once ctx has ended, maxWait has passed, or the reason is known to
// hold for longer than the rest of maxWait.
func (a *activeRequest) waitUntilReady(ctx context.Context, maxWait time.Duration, check func(now time.Time) (*waitReason, error)) error {
	clock := a.forwarder.settings.Clock
	started := clock()
	for {
		now := clock()
		reason, err := check(now)
		if err != nil || reason == nil {
			return err
		}
		left := maxWait - now.Sub(started)
		if ctx.Err() != nil || left <= 0 || reason.left > left {
			return reason.refusal()
		}
		pause.Until(ctx, reason.changed, nextCheck(reason.left, left))
	}
}

// nextCheck returns the time until the next check: when the reason may no longer hold, or
// when the request can't wait any longer.
func nextCheck(reasonLeft, left time.Duration) time.Duration {
	if reasonLeft > 0 {
		return min(reasonLeft, left)
	}
	return left
}
