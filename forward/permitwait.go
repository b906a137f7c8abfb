// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"time"

	"granitehoist.example/granitehoist/balance"
)

// permitWaitPart of the route's latency target is how long a request waits for a permit
// when every upstream of its service names a limit: a caller that is refused within a
// quarter of the target can still be served elsewhere in time. Chosen, not measured.
const permitWaitPart = 0.2

// permitWait returns how long the request waits for a permit from its first choice on.
func (a *activeRequest) permitWait() time.Duration {
	wait := time.Duration(permitWaitPart * float64(a.admission.route.Target))
	return max(0, min(wait, a.timeLeft()-minRetryTime))
}

// pickPermitted chooses the instance of the next attempt. If all name a limit it waits for
// a permit, but not for one that can't come in time: the error then has code Overloaded
// and says when a permit may be had.
func (a *activeRequest) pickPermitted(ctx context.Context) (*balance.Lease, error) {
	settings := &a.forwarder.settings
	query := a.query()
	query.MaxWait = a.permitWait()
	started := settings.Clock()
	lease, err := settings.Table.Pick(query, started)
	if _, needs := balance.NeedsPermit(err); !needs {
		return lease, err
	}
	waiter, mayWait := settings.Table.NewWaiter(&query)
	if !mayWait {
		return nil, a.permitRefusal(err)
	}
	defer waiter.Close()
	defer func() { a.progress.permitWaited += settings.Clock().Sub(started) }()
	query.Waiting = true
	for {
		changed := settings.Table.PermitsChanged()
		now := settings.Clock()
		lease, err = settings.Table.Pick(query, now)
		chance, needs := balance.NeedsPermit(err)
		left := query.MaxWait - now.Sub(started)
		switch {
		case !needs:
			return lease, err
		case ctx.Err() != nil, chance > left, left <= 0:
			return nil, a.permitRefusal(err)
		}
		waitForPermit(ctx, changed, permitPoll(chance, left))
	}
}

// permitPoll returns when to look again for a permit at the latest: when the first one may
// be due, or when the request can't wait longer.
func permitPoll(chance, left time.Duration) time.Duration {
	if chance > 0 {
		return min(chance, left)
	}
	return left
}

// waitForPermit waits until changed is closed, ctx ends, or a time has passed.
func waitForPermit(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// permitRefusal returns the refusal of a request for want of a permit. lacking is the error
// of Pick.
func (a *activeRequest) permitRefusal(lacking error) error {
	chance, _ := balance.NeedsPermit(lacking)
	e := permitMissing.error(a.timeLeft())
	e.Cause = lacking
	if chance > 0 {
		e.RetryAfter = withinTimeLeft(chance, a.timeLeft())
	}
	return e
}
