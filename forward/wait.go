// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"time"
)

// obstacle is why a request can't be sent yet.
type obstacle struct {
	// left is the time until it may be gone, zero if that is not known.
	left time.Duration
	// changed, unless it is nil, is closed when it may be gone before.
	changed <-chan struct{}
	// refusal returns the error of a request that can't wait for that.
	refusal func() error
}

// await asks look for an obstacle until there is none, and waits in between, for most in all.
// A request that would have to wait for longer, or whose ctx has ended, gets the refusal of
// the obstacle at once. An error of look ends the wait.
func (a *activeRequest) await(ctx context.Context, most time.Duration, look func(now time.Time) (*obstacle, error)) error {
	clock := a.forwarder.settings.Clock
	started := clock()
	for {
		now := clock()
		found, err := look(now)
		if err != nil || found == nil {
			return err
		}
		left := most - now.Sub(started)
		if ctx.Err() != nil || left <= 0 || found.left > left {
			return found.refusal()
		}
		waitForChange(ctx, found.changed, nextLook(found.left, left))
	}
}

// nextLook returns when to look again at the latest: when the obstacle may be gone, or when
// the request can't wait longer.
func nextLook(obstacleLeft, left time.Duration) time.Duration {
	if obstacleLeft > 0 {
		return min(obstacleLeft, left)
	}
	return left
}

// waitForChange waits until changed is closed, ctx ends, or a time has passed.
func waitForChange(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
