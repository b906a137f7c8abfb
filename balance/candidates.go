// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// eligibility says whether an instance may get an attempt, and how preferably. A
// higher one is preferred.
type eligibility int

const (
	// excluded instances get no attempt: they drain or said that they leave, this request has tried them,
	// their zone is evacuated, their region is no home of the request, they are cold
	// and got enough, they have too many requests beside instances with a limit, or their
	// announcement was removed too long ago.
	excluded eligibility = iota
	// deferred instances get nothing now, but may soon: they rest or have just done so, or
	// they name a limit and this router has no permit for them.
	deferred
	// removed instances have lost their announcement less than removedGrace ago.
	removed
	// ejected instances are left out because of failures.
	ejected
	// live instances are announced and not ejected.
	live
)

// constraints are what keeps instances from an attempt whatever their own state is, and what
// the decision on cold ones depends on.
type constraints struct {
	now time.Time
	// tried holds the instances that the request was sent to.
	tried map[granitehoist.Upstream]bool
	// evacuated holds the zones that get nothing, as this router's copy of the
	// operators' orders has them.
	evacuated map[granitehoist.AvailabilityZone]bool
	homes     []Homes
	regions   map[granitehoist.AvailabilityZone]granitehoist.Region
	cold      coldShare
	// isNext says that what deferred instances take is for this request, and for none that
	// waits.
	isNext bool
	// besideLimited says that an instance of the service names a limit.
	besideLimited bool
	// routers is the number of routers, at least one.
	routers int
}

// constraints returns what keeps instances of a service from an attempt of a query. The
// caller holds mu.
func (t *Table) constraints(service *serviceState, q *Query, now time.Time) constraints {
	return constraints{
		now: now, tried: q.Tried, evacuated: t.evacuated, homes: q.Homes, regions: t.settings.Regions,
		cold:          coldShare{perSecond: shareOfCold(q.ColdPerSecond, q.Routers), random: t.random},
		isNext:        service.isNext(q),
		besideLimited: service.hasLimited(),
		routers:       max(1, q.Routers),
	}
}

// eligibility decides whether an instance may get an attempt. The announcement that
// it reads is as old as this router's copy of the store.
func (s *instanceState) eligibility(c constraints) eligibility {
	now := c.now
	switch {
	case c.tried[s.ID] || s.isLeaving() || c.evacuated[s.Zone]:
		return excluded
	case len(c.homes) > 0 && !allAllow(c.homes, c.regions[s.Zone]):
		return excluded
	case s.isCold(now) && !s.admitsCold(c.cold, now):
		return excluded
	case !s.removedAt.IsZero() && !usableAfterRemoval(s.removedAt, now):
		return excluded
	case !s.rest.Admits(now), !s.rest.IsOver() && !c.isNext, s.lacksPermit(c.isNext, now):
		return deferred
	case c.besideLimited && s.isCrowded(c.routers):
		return excluded
	case !s.removedAt.IsZero():
		return removed
	case s.ejected(now):
		return ejected
	}
	return live
}

// isLeaving reports whether an instance is about to end, by its announcement or by an
// answer.
func (s *instanceState) isLeaving() bool { return s.Draining || s.leaving }

// selection is what an attempt may choose from.
type selection struct {
	// choices are the instances among which it chooses. They have the order of states, on
	// which the random choice among equals depends.
	choices []*instanceState
	// later are those that are deferred.
	later []*instanceState
	// leaving is the number of those that are excluded because they leave.
	leaving int
}

// candidates decides which instances an attempt chooses among. They are all that
// are live; if there is none, the one ejected instance whose ejection ends first,
// since a try there may succeed and a refusal can't; if there is none either, those
// that were removed lately. It has no choices if all are excluded or deferred.
func candidates(states []*instanceState, c constraints) selection {
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
			chosen.later = append(chosen.later, s)
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
	return chosen
}
