// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

const (
	// deferredWaitFraction is the fraction of the route's latency target for which a
	// request waits if all instances are backing off or at a rate limit. The remainder lets
	// the caller retry elsewhere. A caller that is refused within a quarter of the target
	// can still be served in time.
	deferredWaitFraction = 0.2
	// minCrashRecordsWait is the lower bound of the time limit for the wait in
	// awaitCrashRecords, also on routes without a latency target.
	minCrashRecordsWait = 100 * time.Millisecond
	// retryAfterJitter is the fraction of a backoff by which the Retry-After of refused
	// callers is spread, so that they do not all return when the instance admits its
	// first probe.
	retryAfterJitter = 0.25
)

// deferredWait returns how long a request waits at most if all instances are deferred,
// that is, backing off or at a rate limit.
func (a *activeRequest) deferredWait() time.Duration {
	wait := time.Duration(deferredWaitFraction * float64(a.admission.route.TargetLatency))
	return max(0, min(wait, a.timeLeft()-minRetryTime))
}

// awaitCrashRecords waits until a router that has just started has the crash records of
// the other routers. Without them it could send a request that is known to crash
// instances. It refuses the request if the records do not arrive in time.
func (a *activeRequest) awaitCrashRecords(ctx context.Context) error {
	ready := a.forwarder.settings.SuspectsReady
	if ready == nil {
		return nil
	}
	return a.waitUntilReady(ctx, max(minCrashRecordsWait, a.deferredWait()), func(time.Time) (*waitReason, error) {
		select {
		case <-ready:
			return nil, nil
		default:
			return &waitReason{changed: ready, refusal: func() error { return crashRecordsMissing.error(a.timeLeft()) }}, nil
		}
	})
}

// pickOrWait selects the instance for the next attempt. It waits for the registration of a
// release if no other has instances (pickRegistered). If all are backing off or at a
// rate limit, it waits for one, for at most deferredWait. It returns an error with code
// Overloaded and a Retry-After if
//   - too many requests are waiting already,
//   - the first instance is known to become available only after the wait, or
//   - the wait ends without an instance.
func (a *activeRequest) pickOrWait(ctx context.Context) (*balance.Lease, error) {
	settings := &a.forwarder.settings
	query := a.query()
	query.MaxWait = a.deferredWait()
	started := settings.Clock()
	lease, err := a.pickRegistered(ctx, &query)
	if _, deferred := balance.DeferralOf(err); !deferred {
		return lease, err
	}
	waiter, mayWait := settings.Table.NewWaiter(&query)
	if !mayWait {
		return nil, a.deferredRefusal(err)
	}
	defer waiter.Close()
	defer func() { a.progress.deferredFor += settings.Clock().Sub(started) }()
	query.Waiting = true
	err = a.waitUntilReady(ctx, query.MaxWait, func(now time.Time) (*waitReason, error) {
		changed := settings.Table.DeferredChanged()
		var pickErr error
		lease, pickErr = a.pickAdmitted(&query, now)
		deferral, deferred := balance.DeferralOf(pickErr)
		if !deferred {
			return nil, pickErr
		}
		return &waitReason{left: deferral.RetryIn, changed: changed, refusal: func() error { return a.deferredRefusal(pickErr) }}, nil
	})
	return lease, err
}

// deferredRefusal returns the error of a request that no instance accepts in time.
// pickErr is the error of Pick.
func (a *activeRequest) deferredRefusal(pickErr error) error {
	deferral, _ := balance.DeferralOf(pickErr)
	e := instancesDeferred.error(a.timeLeft())
	e.Cause = pickErr
	switch {
	case deferral.Backoff:
		// A retry before the end of the backoff would be refused again.
		e.RetryAfter = addJitter(deferral.RetryIn, rand.Float64())
	case deferral.RetryIn > 0:
		e.RetryAfter = capRetryAfter(deferral.RetryIn, a.timeLeft())
	}
	return e
}

// addJitter returns delay increased by up to retryAfterJitter of it. draw is a random
// number in [0, 1).
func addJitter(delay time.Duration, draw float64) time.Duration {
	return delay + time.Duration(retryAfterJitter*draw*float64(delay))
}

// withEarliestRetryAfter returns the failure of a request that gets no further attempt.
// If instances refused the request, the Retry-After becomes the time until any instance
// may accept a request, since the last instance may have stated a longer one. Other
// failures are returned unchanged. That includes refusals without a Retry-After: the
// request reached no instance and may be retried at once.
func (a *activeRequest) withEarliestRetryAfter(failure error) error {
	var refused *granitehoist.Error
	if !errors.As(failure, &refused) || refused.Code != granitehoist.UpstreamRefused || refused.RetryAfter == 0 {
		return failure
	}
	query := a.query()
	query.Tried = nil
	delay, known := a.forwarder.settings.Table.RetryIn(query, a.forwarder.settings.Clock())
	if !known {
		return failure
	}
	adjusted := *refused
	adjusted.RetryAfter = refusalRules[refusedByInstance].retryAfter
	if delay > 0 {
		adjusted.RetryAfter = addJitter(delay, rand.Float64())
	}
	return &adjusted
}
