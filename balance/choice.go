// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Query describes the attempt for which Pick chooses an instance.
type Query struct {
	Service granitehoist.Service
	// PrefixHash is the hash of the prompt's shared prefix, as returned by the function
	// PrefixHash; zero means none.
	PrefixHash uint64
	// PrefixTokens is the length of the shared prefix. PromptTokens is that of the whole
	// prompt, prefix included.
	PrefixTokens granitehoist.Tokens
	PromptTokens granitehoist.Tokens
	// MaxEventGap is the route's target for the longest gap between two events of a
	// stream; zero means none. It determines whether the prompt is heavy (slow.go).
	MaxEventGap time.Duration
	// ColdRequestRate is the rate limit of a cold instance of the service, in requests a
	// second from all routers together; zero means no limit.
	ColdRequestRate float64
	// Routers is the number of routers that share ColdRequestRate; zero counts as one.
	Routers int
	// AllowedRegions holds the allowed regions of each rule that names some. A region
	// must be allowed by all of them.
	AllowedRegions []AllowedRegions
	// RoundTrips is the number of round trips to the instance that the request waits for,
	// that of a new connection included. Zero counts as one.
	RoundTrips int
	// Releases restricts the instances by their release.
	Releases ReleaseRule
	// Release, unless nil, is the only release that may run the attempt, since the stream
	// began there.
	Release *granitehoist.Release
	// Pin, unless zero, selects the instance by rendezvous hashing instead of by cost:
	// all routers with the same instances select the same one for the same number.
	Pin uint64
	// Priority orders the requests that need a deferred instance (waiting.go). MaxWait is
	// how long the request can wait if every instance that it may use is deferred. Waiting
	// reports that the request is already waiting (NewWaiter).
	Priority granitehoist.Priority
	MaxWait  time.Duration
	Waiting  bool
	// heavy and prefersSlow are the results of the functions isHeavy and prefersSlow
	// (slow.go). Pick sets both.
	heavy, prefersSlow bool
	// spilled reports that Pick sends the request to another region (spill.go).
	spilled bool
	// Tried holds the instances that must not be chosen again.
	Tried map[granitehoist.Upstream]bool
}

// Pick chooses an instance among the candidates (candidates.go). The attempt counts as in
// progress at the instance until Done is called on the lease. If the query has a Pin, Pick
// chooses the candidate with the highest hash (owner.go), otherwise the one with the least
// cost (cost.go). Without a candidate it returns an error:
//
//   - If an instance is deferred, DeferralOf returns the deferral in the error.
//   - Otherwise the error has code NoUpstream and no Retry-After. If no region is allowed
//     or no allowed region has an instance, its detail says so.
func (t *Table) Pick(q Query, now time.Time) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(q.Service)
	service.markSlow(now)
	limits := t.constraints(service, &q, now)
	selected := candidates(service.instances, limits)
	choices := selected.choices
	t.addPermitDemands(selected.deferred, len(choices) == 0, &q, now)
	t.countSkips(&selected)
	switch {
	case len(choices) == 0 && len(selected.deferred) > 0:
		return nil, deferral(q.Service, selected.deferred, now)
	case len(choices) == 0:
		return nil, t.noChoice(service, &q)
	}
	q.prefersSlow = prefersSlow(service.slowCount, len(service.instances), t.random.Float64())
	q.heavy = isHeavy(q.PromptTokens, service.tokensPerMS(), q.MaxEventGap)
	choices = t.spill(service, &q, choices)
	owner := t.prefixOwner(choices, &q, service.tokensPerMS())
	chosen := ownerOf(choices, q.Pin, false)
	if chosen == nil {
		chosen = t.cheapest(choices, &q, owner, now)
	}
	lease := t.newLease(chosen, &q, owner, now)
	if limit := chosen.rejections.limitOr(limits.rejections.limit); limit > 0 {
		lease.use = rejectionUse{limited: true, scarce: isScarce(limit, limits.routers)}
		chosen.rejections.track(lease)
	}
	lease.service = service
	lease.Crossing = t.crossing(chosen, selected.choices, &q, owner)
	return lease, nil
}

// RetryIn returns the time until Pick may find an instance for a query. The time is zero
// if Pick may find one now or if the time is unknown. RetryIn returns false if no instance
// is a candidate or deferred.
func (t *Table) RetryIn(q Query, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(q.Service)
	selected := candidates(service.instances, t.constraints(service, &q, now))
	switch {
	case len(selected.choices) > 0:
		return 0, true
	case len(selected.deferred) > 0:
		return earliestDeferral(selected.deferred, now).RetryIn, true
	}
	return 0, false
}

// addPermitDemands records demand for a permit at each deferred instance that is
// rate-limited and whose backoff, if any, allows a request. needed reports that Pick has
// no choices, so that the request waits up to its MaxWait for a permit. Otherwise the
// request is sent to another instance, and maxAdvanceWait applies. The caller holds mu.
func (t *Table) addPermitDemands(deferred []*instanceState, needed bool, q *Query, now time.Time) {
	maxWait := maxAdvanceWait
	if needed {
		maxWait = q.MaxWait
	}
	for _, s := range deferred {
		if s.isLimited() && s.backoff.Allows(now) {
			t.addPermitDemand(s, q.Waiting, maxWait)
		}
	}
}

// cheapest returns the instance with the least cost. There must be at least one.
func (t *Table) cheapest(choices []*instanceState, q *Query, owner *instanceState, now time.Time) *instanceState {
	best := choices[0]
	least := t.costOf(best, q, owner, now)
	for _, s := range choices[1:] {
		if cost := t.costOf(s, q, owner, now); cost < least {
			best, least = s, cost
		}
	}
	return best
}

// costOf computes the cost of an instance for a query. It draws a random number.
func (t *Table) costOf(s *instanceState, q *Query, owner *instanceState, now time.Time) milliseconds {
	// Assigning the fields avoids the copy of a large composite literal in this hot path.
	var l load
	l.queuedTokens = s.queuedTokens
	l.uncachedTokens = s.uncachedTokens(q, owner, now)
	if s != owner {
		l.unownedPrefixTokens = q.PrefixTokens
	}
	l.inFlight = s.inFlight
	l.capacity = s.Capacity
	l.failureRate = s.failureRate
	l.slow, l.heavy, l.prefersSlow = s.slow, q.heavy, q.prefersSlow
	l.networkDelay = t.locality.delay(s.Zone, q.RoundTrips)
	l.tieBreak = t.random.Float64()
	return l.cost()
}

// uncachedTokens returns the number of prompt tokens that are probably not in the
// instance's cache (cachesPrefix).
func (s *instanceState) uncachedTokens(q *Query, owner *instanceState, now time.Time) granitehoist.Tokens {
	if s.cachesPrefix(q, owner, now) {
		return q.PromptTokens - q.PrefixTokens
	}
	return q.PromptTokens
}

// newLease counts an attempt as in progress at an instance and returns its lease.
func (t *Table) newLease(s *instanceState, q *Query, owner *instanceState, now time.Time) *Lease {
	uncached := s.uncachedTokens(q, owner, now)
	if q.PrefixHash != 0 && s != owner {
		s.rememberPrefix(q.PrefixHash, now)
	}
	lease := &Lease{Instance: s.Instance, PrefixOwner: s == owner, Load: s.inFlight, table: t, state: s, pendingTokens: uncached, picked: now, Heavy: q.heavy, Slow: s.slow, Ejected: s.ejected(now)}
	s.inFlight++
	s.queuedTokens += uncached
	if s.isCold(now) {
		s.coldQuota.consume()
	}
	if !s.backoff.Inactive() {
		// The backoff has ended, otherwise the instance would be deferred, but the
		// recovery from it has not. The request is one of its probes.
		lease.isProbe = true
		s.backoff.StartProbe()
	}
	if s.isLimited() {
		lease.limited = true
		s.limit.usePermit(now)
	}
	return lease
}
