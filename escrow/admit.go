// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// admission is whether tokens are reserved for a claim, and if not, why.
type admission int

const (
	// admitted says that the tokens may be reserved.
	admitted admission = iota
	// tooFewFree says that the router has fewer free tokens than the claim needs.
	tooFewFree
	// leftForUrgent says that the router has them, but leaves them for requests of
	// a higher priority.
	leftForUrgent
)

// admit decides whether a claim may reserve tokens: what is free now must cover
// its bound and what is reserved for urgent requests. Only tokens that this
// router owns count, never what it knows of others, so that no two routers can
// spend the same token.
func admit(free, bound, forUrgent granitehoist.Tokens) admission {
	switch {
	case free < bound:
		return tooFewFree
	case free < bound+forUrgent:
		return leftForUrgent
	}
	return admitted
}

const (
	// expectedOutage is how long tokens are reserved for urgent requests while the
	// store is silent. Chosen, not measured (959d02e); the outages on the users'
	// standard days last about 8 s (docs/PERFORMANCE.md).
	expectedOutage = 10 * time.Second
	// urgentPart is the part of the holding that a request leaves for each step of
	// priority above its own. Measured at this value only (959d02e, against no
	// such rule): Tuul 0.861 to 0.896, Lima 0.949 to 0.954.
	urgentPart = 0.3
)

// outageLeft returns the part of an expected outage that is still to come, from 1
// when the store falls silent to 0 after expectedOutage. silentSince is zero
// while the store answers, and the result is 0 then.
func outageLeft(silentSince, now time.Time) float64 {
	if silentSince.IsZero() {
		return 0
	}
	return max(0, 1-now.Sub(silentSince).Seconds()/expectedOutage.Seconds())
}

// reservedForUrgent decides how many tokens a request leaves for those of a
// higher priority: urgentPart of the holding for each step between its priority
// and the highest that this router has seen, at most the whole holding, fading
// with what is left of an expected outage. While the store answers it is zero.
//
// In an outage the holding can't be refilled, and the least urgent requests would
// spend what the others need. target is the holding as of the last sync.
func reservedForUrgent(priority, highest granitehoist.Priority, target granitehoist.Tokens, outageLeft float64) granitehoist.Tokens {
	steps := float64(max(0, highest-priority))
	return granitehoist.Tokens(min(1, urgentPart*steps) * outageLeft * float64(target))
}
