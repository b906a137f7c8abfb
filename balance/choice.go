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
	// PrefixHash is the hash of the prefix that the prompt shares with others,
	// as PrefixHash returns it; zero means none.
	PrefixHash uint64
	// PrefixTokens is the length of that prefix, PromptTokens that of the
	// complete prompt, which is at least as long.
	PrefixTokens granitehoist.Tokens
	PromptTokens granitehoist.Tokens
	// Pause is the longest pause between events that the route allows; zero sets no
	// bound.
	Pause time.Duration
	// ColdPerSecond is the number of requests a second, of all routers together, that
	// a cold instance of the service bears; zero sets no bound.
	ColdPerSecond float64
	// Routers is the number of routers that share ColdPerSecond; zero stands for one.
	Routers int
	// Homes holds the regions that the request may be sent to, once for each rule that
	// names some: all of them bind.
	Homes []Homes
	// Pin, unless it is zero, chooses the instance by rendezvous hashing instead of by cost:
	// all routers that see the same instances choose the same one for the same number.
	Pin uint64
	// Priority decides who goes first where permits are scarce. MaxWait is how long the
	// request can wait for one if it finds no instance without; Waiting says that it does
	// (NewWaiter).
	Priority granitehoist.Priority
	MaxWait  time.Duration
	Waiting  bool
	// heavy and prefersSlow are what isHeavy and prefersSlow decide (slow.go),
	// which Pick takes for each query.
	heavy, prefersSlow bool
	// Tried holds the instances that must not be chosen again.
	Tried map[granitehoist.Upstream]bool
}

// Pick chooses the instance with the least cost and counts the attempt as in
// progress there until Done is called on the lease. It returns an error with
// code NoUpstream, without a Retry-After, if the service has no instance that may
// be chosen, and one that DeferralOf recognises if some may be chosen later.
func (t *Table) Pick(q Query, now time.Time) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(q.Service)
	service.markSlow(now)
	selected := candidates(service.instances, t.constraints(service, &q, now))
	choices := selected.choices
	t.wantAll(selected.later, len(choices) == 0, &q, now)
	t.countSpared(&selected)
	switch {
	case len(choices) == 0 && len(selected.later) > 0:
		return nil, deferral(q.Service, selected.later, now)
	case len(choices) == 0:
		return nil, granitehoist.Errorf(granitehoist.NoUpstream, "service %s", q.Service)
	}
	q.prefersSlow = prefersSlow(service.slow, len(service.instances), t.random.Float64())
	q.heavy = isHeavy(q.PromptTokens, service.tokensPerMS(), q.Pause)
	owner := ownerOf(choices, q.PrefixHash, q.heavy)
	best := ownerOf(choices, q.Pin, false)
	if best == nil {
		best = t.cheapest(choices, &q, owner, now)
	}
	lease := t.take(best, &q, owner, now)
	lease.service = service
	return lease, nil
}

// NextChance returns the time until Pick may choose an instance for a query, zero if it may
// now, and false if no instance is known that may be chosen.
func (t *Table) NextChance(q Query, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(q.Service)
	selected := candidates(service.instances, t.constraints(service, &q, now))
	switch {
	case len(selected.choices) > 0:
		return 0, true
	case len(selected.later) > 0:
		return soonest(selected.later, now).Chance, true
	}
	return 0, false
}

// wantAll records that a query could have used a permit for each of the deferred instances
// that lack no more than one, as it has to if needed says that no other may be chosen. The
// caller holds mu.
func (t *Table) wantAll(deferred []*instanceState, needed bool, q *Query, now time.Time) {
	within := permitAhead
	if needed {
		within = q.MaxWait
	}
	for _, s := range deferred {
		if s.isLimited() && s.rest.Admits(now) {
			t.want(s, q.Waiting, within)
		}
	}
}

// cheapest returns the one of the instances, at least one, that costs a query least.
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

// costOf gathers what an instance's cost is computed from and returns that cost. It
// draws a random number.
func (t *Table) costOf(s *instanceState, q *Query, owner *instanceState, now time.Time) milliseconds {
	// Field by field: a composite literal of this size is built apart and copied,
	// which made BenchmarkPick with 140 instances a fifth slower.
	var l load
	l.queuedTokens = s.unreadTokens
	l.unreadTokens = s.unreadTokensFor(q, owner, now)
	if s != owner {
		l.unownedPrefixTokens = q.PrefixTokens
	}
	l.inFlight = s.inFlight
	l.capacity = s.Capacity
	l.failureRate = s.failureRate
	l.slow, l.heavy, l.prefersSlow = s.slow, q.heavy, q.prefersSlow
	l.otherZone = s.Zone != t.settings.Zone
	l.tieBreak = t.random.Float64()
	return l.cost()
}

// unreadTokensFor returns the tokens of a query's prompt that an instance would
// have to read.
func (s *instanceState) unreadTokensFor(q *Query, owner *instanceState, now time.Time) granitehoist.Tokens {
	if s.cachesPrefix(q, owner, now) {
		return q.PromptTokens - q.PrefixTokens
	}
	return q.PromptTokens
}

// take counts an attempt as in progress at an instance and returns its lease.
func (t *Table) take(s *instanceState, q *Query, owner *instanceState, now time.Time) *Lease {
	unread := s.unreadTokensFor(q, owner, now)
	if q.PrefixHash != 0 && s != owner {
		s.rememberPrefix(q.PrefixHash, now)
	}
	lease := &Lease{Instance: s.Instance, Owner: s == owner, Load: s.inFlight, table: t, state: s, unreadTokens: unread, picked: now, Heavy: q.heavy, Slow: s.slow}
	s.inFlight++
	s.unreadTokens += unread
	if s.isCold(now) {
		s.admitted.take()
	}
	if !s.rest.IsOver() {
		lease.trial = true
		s.rest.Try()
	}
	if s.isLimited() {
		lease.limited = true
		s.limit.usePermit(now)
	}
	return lease
}
