// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"slices"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// releases tells the releases of a service apart: those in force and those that appeared
// before this router could know whether an order concerns them. The zero value works.
type releases struct {
	// inForce holds the releases that serve requests without an order.
	inForce map[granitehoist.Release]bool
	// held holds the other ones with the version of their first announcement seen.
	held map[granitehoist.Release]granitehoist.Version
	// unreadable says that the service has an order that cannot be decoded.
	unreadable bool
}

// announce holds a release that is not in force, unless none is known yet or the order in
// progress excludes it anyway. It reports whether the release is newly held.
func (r *releases) announce(release granitehoist.Release, version granitehoist.Version, excluded []granitehoist.Release) bool {
	_, isHeld := r.held[release]
	if len(r.inForce) == 0 || r.inForce[release] || isHeld || slices.Contains(excluded, release) {
		return false
	}
	if r.held == nil {
		r.held = map[granitehoist.Release]granitehoist.Version{}
	}
	r.held[release] = version
	return true
}

// update decides which releases are in force, from the announced instances and the version
// of the copy of the orders. A held release is in force once that copy is as new as its
// announcement, or when no release in force is ready.
func (r *releases) update(statuses []balance.ReleaseStatus, orders granitehoist.Version, excluded []granitehoist.Release) {
	served := false
	for _, s := range statuses {
		served = served || (s.Ready > 0 && r.inForce[s.Release])
	}
	for _, s := range statuses {
		if s.Ready == 0 || slices.Contains(excluded, s.Release) {
			continue
		}
		r.announce(s.Release, s.Oldest, excluded)
		since, isHeld := r.held[s.Release]
		if !served || (isHeld && orders >= since && !r.unreadable) {
			r.accept(s.Release)
		}
	}
	r.prune(statuses, excluded)
}

// accept puts a release in force.
func (r *releases) accept(release granitehoist.Release) {
	delete(r.held, release)
	if r.inForce == nil {
		r.inForce = map[granitehoist.Release]bool{}
	}
	r.inForce[release] = true
}

// prune removes releases without instances; of those in force the last one stays.
func (r *releases) prune(statuses []balance.ReleaseStatus, excluded []granitehoist.Release) {
	exists := func(release granitehoist.Release) bool {
		return slices.ContainsFunc(statuses, func(s balance.ReleaseStatus) bool { return s.Release == release })
	}
	for release := range r.held {
		if !exists(release) || slices.Contains(excluded, release) {
			delete(r.held, release)
		}
	}
	for release := range r.inForce {
		if !exists(release) && len(r.inForce) > 1 {
			delete(r.inForce, release)
		}
	}
}

// heldReleases returns the held releases, sorted; nil if there are none.
func (r *releases) heldReleases() []granitehoist.Release {
	var held []granitehoist.Release
	for release := range r.held {
		held = append(held, release)
	}
	slices.Sort(held)
	return held
}

// isOnly reports whether a release is the only one in force.
func (r *releases) isOnly(release granitehoist.Release) bool {
	return len(r.inForce) == 1 && r.inForce[release]
}

// conclude applies the verdict on a target.
func (r *releases) conclude(target granitehoist.Release, complete bool) {
	if complete {
		r.inForce = map[granitehoist.Release]bool{target: true}
	} else {
		delete(r.inForce, target)
	}
}
