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
	// deferredWaitPart of the route's latency target is how long a request waits when
	// every upstream of its service rests or names a limit: a caller that is refused
	// within a quarter of the target can still be served elsewhere in time.
	deferredWaitPart = 0.2
	// minEvidenceWait is how long a request waits at least for a router that has just
	// started to get the evidence: most of them have it by then.
	minEvidenceWait = 100 * time.Millisecond
	// restSpread is the part of the time until an upstream's rest ends over which the
	// callers that are refused for it are told to return, so that they do not all return
	// in the moment in which it takes one request.
	restSpread = 0.25
)

// deferredWait returns how long the request waits from its first choice on.
func (a *activeRequest) deferredWait() time.Duration {
	wait := time.Duration(deferredWaitPart * float64(a.admission.route.Target))
	return max(0, min(wait, a.timeLeft()-minRetryTime))
}

// awaitEvidence waits until the router, if it has just started, knows what the others know of
// requests that crash upstreams: each start of a router ended one more of them. It waits as
// long as for a deferred instance.
func (a *activeRequest) awaitEvidence(ctx context.Context) error {
	evidence := a.forwarder.settings.Evidence
	if evidence == nil {
		return nil
	}
	return a.await(ctx, max(minEvidenceWait, a.deferredWait()), func(time.Time) (*obstacle, error) {
		select {
		case <-evidence:
			return nil, nil
		default:
			return &obstacle{changed: evidence, refusal: func() error { return evidenceMissing.error(a.timeLeft()) }}, nil
		}
	})
}

// pickOrWait chooses the instance of the next attempt. If all rest or name a limit it waits
// for one, but not for one that can't take it in time: the error then has code Overloaded
// and says when one may.
func (a *activeRequest) pickOrWait(ctx context.Context) (*balance.Lease, error) {
	settings := &a.forwarder.settings
	query := a.query()
	query.MaxWait = a.deferredWait()
	started := settings.Clock()
	lease, err := settings.Table.Pick(query, started)
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
	err = a.await(ctx, query.MaxWait, func(now time.Time) (*obstacle, error) {
		changed := settings.Table.DeferredChanged()
		var later error
		lease, later = settings.Table.Pick(query, now)
		deferral, deferred := balance.DeferralOf(later)
		if !deferred {
			return nil, later
		}
		return &obstacle{left: deferral.Chance, changed: changed, refusal: func() error { return a.deferredRefusal(later) }}, nil
	})
	return lease, err
}

// deferredRefusal returns the refusal of a request for which no instance takes it in time.
// later is the error of Pick.
func (a *activeRequest) deferredRefusal(later error) error {
	deferral, _ := balance.DeferralOf(later)
	e := instancesDeferred.error(a.timeLeft())
	e.Cause = later
	switch {
	case deferral.Rest:
		// Whoever returns before the rest ends is refused once more.
		e.RetryAfter = spread(deferral.Chance, rand.Float64())
	case deferral.Chance > 0:
		e.RetryAfter = withinTimeLeft(deferral.Chance, a.timeLeft())
	}
	return e
}

// spread returns a time from that of a chance on, up to restSpread of it later. draw is a
// random number from 0 up to 1.
func spread(chance time.Duration, draw float64) time.Duration {
	return chance + time.Duration(restSpread*draw*float64(chance))
}

// refusedForCaller returns the failure of a request that gets no further attempt. One that
// the instances refused says when the caller may be served: the time that the last of them
// named is only its own, while others may take a request sooner. One that reached none keeps
// its error, by which the caller may return at once.
func (a *activeRequest) refusedForCaller(failure error) error {
	var refused *granitehoist.Error
	if !errors.As(failure, &refused) || refused.Code != granitehoist.UpstreamRefused || refused.RetryAfter == 0 {
		return failure
	}
	query := a.query()
	query.Tried = nil
	chance, known := a.forwarder.settings.Table.NextChance(query, a.forwarder.settings.Clock())
	if !known {
		return failure
	}
	sooner := *refused
	sooner.RetryAfter = refusalRules[refusedByInstance].retryAfter
	if chance > 0 {
		sooner.RetryAfter = spread(chance, rand.Float64())
	}
	return &sooner
}
