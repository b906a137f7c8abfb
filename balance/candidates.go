// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// eligibility ranks an instance for an attempt. Higher values are preferred.
type eligibility int

const (
	// excluded instances get no attempt. An instance is excluded if
	//
	//   - it is draining or leaving;
	//   - the request was already sent to it;
	//   - its zone is evacuated, or its region is not allowed for the request;
	//   - its release is not admitted (ReleaseRule), or began another stream (Query.Release);
	//   - it is cold and this router's quota for it is used up;
	//   - it is overloaded and an instance of the service is rate-limited;
	//   - its announcement was removed removedGrace ago or earlier.
	excluded eligibility = iota
	// deferred instances are unavailable for now. An instance is deferred if
	//
	//   - it is in backoff;
	//   - it is recovering from a backoff, and all allowed probes are in flight;
	//   - it is rate-limited and this router has no permit;
	//   - it has a rejection limit and this router's part is used up;
	//   - it is recovering from a backoff, rate-limited or has a rejection limit, and a
	//     waiting request takes precedence.
	deferred
	// removed instances lost their announcement less than removedGrace ago.
	removed
	// ejected instances are announced and ejected because of failures (ejection.go).
	ejected
	// live instances are announced and not ejected.
	live
)

// constraints are the conditions of an attempt that, apart from an instance's own state,
// determine its eligibility.
type constraints struct {
	now time.Time
	// tried holds the instances that the request was already sent to.
	tried map[granitehoist.Upstream]bool
	// evacuated holds the evacuated zones according to this router's copy of the
	// operators' settings.
	evacuated      map[granitehoist.AvailabilityZone]bool
	allowedRegions []AllowedRegions
	releases       ReleaseRule
	release        *granitehoist.Release
	regions        map[granitehoist.AvailabilityZone]granitehoist.Region
	cold           coldShare
	// firstInQueue reports that no waiting request takes precedence over this request
	// (isFirstInQueue).
	firstInQueue bool
	// hasLimited reports that an instance of the service is rate-limited.
	hasLimited bool
	// rejections summarizes the rejections of the service's instances.
	rejections serviceRejections
	// seed identifies this router.
	seed uint64
	// routers is the number of routers, at least one.
	routers int
}

// constraints returns the constraints of a query for instances of a service. The caller
// holds mu.
func (t *Table) constraints(service *serviceState, q *Query, now time.Time) *constraints {
	c := &constraints{
		now: now, tried: q.Tried, evacuated: t.evacuated, allowedRegions: q.AllowedRegions, regions: t.settings.Regions, releases: q.Releases, release: q.Release,
		cold:         coldShare{perSecond: coldRateShare(q.ColdRequestRate, q.Routers), random: t.random},
		firstInQueue: service.isFirstInQueue(q),
		hasLimited:   service.hasLimited(),
		seed:         t.settings.Seed,
		routers:      max(1, q.Routers),
	}
	if t.hasRejectionLimits {
		c.rejections = service.rejections(now)
	}
	return c
}

// eligibility determines whether an instance may get an attempt. It relies on the
// announcement in this router's copy of the store, which may be stale.
func (s *instanceState) eligibility(c *constraints) eligibility {
	now := c.now
	switch {
	case c.tried[s.ID] || s.isLeaving() || c.evacuated[s.Zone]:
		return excluded
	case len(c.allowedRegions) > 0 && !allowedByAll(c.allowedRegions, c.regions[s.Zone]):
		return excluded
	case !c.releases.admits(s.Release), c.release != nil && s.Release != *c.release:
		return excluded
	case s.isCold(now) && !s.admitsWhileCold(c.cold, now):
		return excluded
	case !s.removedAt.IsZero() && !usableAfterRemoval(s.removedAt, now):
		return excluded
	case !s.backoff.Allows(now), !s.backoff.Inactive() && !c.firstInQueue, s.lacksPermit(c.firstInQueue, now), s.holdsBack(c):
		return deferred
	case c.hasLimited && s.isOverloaded(c.routers):
		return excluded
	case !s.removedAt.IsZero():
		return removed
	case s.ejected(now):
		return ejected
	}
	return live
}

// isLeaving reports whether the instance is about to end, according to its announcement
// or to a response.
func (s *instanceState) isLeaving() bool { return s.Draining || s.leaving }

// selection is the outcome of filtering the instances of a service for an attempt.
type selection struct {
	// choices are the candidates, in the order of the service's list. The order determines
	// which random tie-break each of them gets.
	choices []*instanceState
	// deferred holds the deferred instances.
	deferred []*instanceState
	// leaving counts the excluded instances that are leaving.
	leaving int
}

// candidates selects the instances that an attempt may use, the first of these that exist:
//
//   - all live instances;
//   - the ejected instance whose ejection ends first, since it may work again;
//   - the removed instances.
//
// There are no choices if all instances are excluded or deferred.
func candidates(states []*instanceState, c *constraints) selection {
	chosen := selection{choices: make([]*instanceState, 0, len(states))}
	var removedStates []*instanceState
	var endsFirst *instanceState
	for _, s := range states {
		switch s.eligibility(c) {
		case live:
			chosen.choices = append(chosen.choices, s)
		case ejected:
			if endsFirst == nil || s.ejectedUntil.Before(endsFirst.ejectedUntil) {
				endsFirst = s
			}
		case removed:
			removedStates = append(removedStates, s)
		case deferred:
			chosen.deferred = append(chosen.deferred, s)
		case excluded:
			if s.isLeaving() {
				chosen.leaving++
			}
		}
	}
	switch {
	case len(chosen.choices) > 0:
	case endsFirst != nil:
		chosen.choices = []*instanceState{endsFirst}
	default:
		chosen.choices = removedStates
	}
	chosen.choices = c.releases.focus(chosen.choices, c.regions)
	return chosen
}
