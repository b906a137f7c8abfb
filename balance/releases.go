// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"cmp"
	"slices"

	"granitehoist.example/granitehoist"
)

// ReleaseRule restricts an attempt to instances of some releases, as a roll-out of the
// service requires (package rollout). The zero value admits all instances.
type ReleaseRule struct {
	// Only, unless empty, is the only admitted release.
	Only granitehoist.Release
	// Except holds releases that are not admitted.
	Except []granitehoist.Release
	// Focus, if positive, is the number of candidates per region that the attempt may use.
	// All routers with the same candidates use the same ones, so that a small share of the
	// requests loads each of them like an instance that serves all requests.
	Focus int
}

// admits reports whether the rule admits instances of a release.
func (r *ReleaseRule) admits(release granitehoist.Release) bool {
	if r.Only != "" && release != r.Only {
		return false
	}
	return len(r.Except) == 0 || !slices.Contains(r.Except, release)
}

// Excluding returns the rule with further releases that are not admitted.
func (r ReleaseRule) Excluding(releases []granitehoist.Release) ReleaseRule {
	if len(releases) > 0 {
		r.Except = slices.Concat(r.Except, releases)
	}
	return r
}

// focus returns the Focus candidates of each region with the highest hash of their IDs, in
// the order of states; states itself if Focus is not positive.
func (r *ReleaseRule) focus(states []*instanceState, regions map[granitehoist.AvailabilityZone]granitehoist.Region) []*instanceState {
	if r.Focus <= 0 || len(states) <= r.Focus {
		return states
	}
	ranked := slices.Clone(states)
	slices.SortFunc(ranked, func(a, b *instanceState) int { return cmp.Compare(b.idHash, a.idHash) })
	kept := map[*instanceState]bool{}
	perRegion := map[granitehoist.Region]int{}
	for _, s := range ranked {
		if region := regions[s.Zone]; perRegion[region] < r.Focus {
			perRegion[region]++
			kept[s] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(states), func(s *instanceState) bool { return !kept[s] })
}

// ReleaseStatus describes the announced instances of one release of a service.
type ReleaseStatus struct {
	Release granitehoist.Release
	// Ready is the number of announced instances that are neither draining nor leaving.
	Ready int
	// InFlight is the number of this router's attempts in progress at all instances of the
	// release, those removed included.
	InFlight int
	// Oldest is the lowest store version of the announcements of the ready instances.
	Oldest granitehoist.Version
}

// Releases returns the status of each release of a service, ordered by name. A release
// remains until its last instance is forgotten.
func (t *Table) Releases(service granitehoist.Service) []ReleaseStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	byRelease := map[granitehoist.Release]*ReleaseStatus{}
	state, found := t.services[service]
	if !found {
		return nil
	}
	for _, s := range state.instances {
		status := byRelease[s.Release]
		if status == nil {
			status = &ReleaseStatus{Release: s.Release}
			byRelease[s.Release] = status
		}
		status.add(s)
	}
	statuses := make([]ReleaseStatus, 0, len(byRelease))
	for _, status := range byRelease {
		statuses = append(statuses, *status)
	}
	slices.SortFunc(statuses, func(a, b ReleaseStatus) int { return cmp.Compare(a.Release, b.Release) })
	return statuses
}

// Serves reports whether a release of a service has an announced instance that is neither
// draining nor leaving.
func (t *Table) Serves(service granitehoist.Service, release granitehoist.Release) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, found := t.services[service]
	return found && slices.ContainsFunc(state.instances, func(s *instanceState) bool {
		return s.Release == release && !s.isLeaving()
	})
}

// add counts an instance of the release.
func (r *ReleaseStatus) add(s *instanceState) {
	r.InFlight += s.inFlight
	if s.isLeaving() || !s.removedAt.IsZero() {
		return
	}
	r.Ready++
	if r.Oldest == 0 || s.Version < r.Oldest {
		r.Oldest = s.Version
	}
}
