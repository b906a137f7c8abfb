// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "granitehoist.example/granitehoist"

// Crossing says whether an attempt leaves the router's zone or region, and why. The zero
// value is that of an attempt that stays in the zone.
type Crossing struct {
	To     CrossingTo
	Reason CrossingReason
}

// CrossingTo is what an attempt crosses to.
type CrossingTo string

// What an attempt crosses to.
const (
	OtherZone   CrossingTo = "zone"
	OtherRegion CrossingTo = "region"
)

// CrossingReason is why an attempt crosses.
type CrossingReason string

// The reasons, of which the first that applies is given.
const (
	// CrossesByRule: the allowed regions exclude the router's own.
	CrossesByRule CrossingReason = "rule"
	// CrossesForLack: no instance in the router's zone or region was available.
	CrossesForLack CrossingReason = "lack"
	// CrossesBySpill: the router's region spills requests (spill.go).
	CrossesBySpill CrossingReason = "spill"
	// CrossesToOwner: the instance owns the prefix.
	CrossesToOwner CrossingReason = "owner"
	// CrossesForCost: the instance had the least cost.
	CrossesForCost CrossingReason = "cost"
)

// crossing returns the crossing of a query to the chosen instance. The caller holds mu.
func (t *Table) crossing(chosen *instanceState, choices []*instanceState, q *Query, owner *instanceState) Crossing {
	l := &t.locality
	if l.zone == "" || chosen.Zone == l.zone {
		return Crossing{}
	}
	c := Crossing{To: OtherZone}
	isNear := func(s *instanceState) bool { return s.Zone == l.zone }
	if l.isRemote(chosen.Zone) {
		c.To = OtherRegion
		isNear = func(s *instanceState) bool { return !l.isRemote(s.Zone) }
	}
	switch {
	case c.To == OtherRegion && !allowedByAll(q.AllowedRegions, l.regions[l.zone]):
		c.Reason = CrossesByRule
	case !anyInstance(choices, isNear):
		c.Reason = CrossesForLack
	case q.spilled:
		c.Reason = CrossesBySpill
	case chosen == owner:
		c.Reason = CrossesToOwner
	default:
		c.Reason = CrossesForCost
	}
	return c
}

// anyInstance reports whether f holds for an instance.
func anyInstance(states []*instanceState, f func(*instanceState) bool) bool {
	for _, s := range states {
		if f(s) {
			return true
		}
	}
	return false
}

// noChoice returns the error of a query without a candidate. The caller holds mu.
func (t *Table) noChoice(service *serviceState, q *Query) error {
	allowed := func(s *instanceState) bool { return allowedByAll(q.AllowedRegions, t.settings.Regions[s.Zone]) }
	switch {
	case len(q.AllowedRegions) == 0 || anyInstance(service.instances, allowed):
		return granitehoist.Errorf(granitehoist.NoUpstream, "service %s", q.Service)
	case !t.AllowsAny(q.AllowedRegions):
		return granitehoist.Errorf(granitehoist.NoUpstream, "service %s: no region is allowed", q.Service)
	}
	return granitehoist.Errorf(granitehoist.NoUpstream, "service %s: no allowed region has an instance", q.Service)
}

// AllowsAny reports whether the rules allow any region of Settings.Regions.
func (t *Table) AllowsAny(rules []AllowedRegions) bool {
	if allowedByAll(rules, "") {
		return true
	}
	for _, region := range t.settings.Regions {
		if allowedByAll(rules, region) {
			return true
		}
	}
	return false
}
