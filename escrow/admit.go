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
	// admitted means that the tokens may be reserved.
	admitted admission = iota
	// insufficientFree means that the router has fewer free tokens than the claim needs.
	insufficientFree
	// reservedForPriority means that the free tokens are reserved for requests of higher
	// priority.
	reservedForPriority
)

// admit decides whether a claim may reserve tokens: the free tokens must cover its
// maximum cost and the reserve for requests of higher priority. Only tokens that this
// router owns count, so that no two routers can spend the same token.
func admit(free, maxCost, reserve granitehoist.Tokens) admission {
	switch {
	case free < maxCost:
		return insufficientFree
	case free < maxCost+reserve:
		return reservedForPriority
	}
	return admitted
}

const (
	// expectedOutage is the assumed duration of an outage of the store. Tokens are reserved
	// for requests of higher priority until it has passed.
	expectedOutage = 10 * time.Second
	// priorityReserveFraction is the fraction of the target that a request leaves for each
	// priority level above its own at the start of an outage.
	priorityReserveFraction = 0.3
)

// outageRemaining returns the remaining fraction of an expected outage, from 1 when the
// store becomes unresponsive to 0 after expectedOutage. unresponsiveSince is zero while the
// store responds, and the result is 0 then.
func outageRemaining(unresponsiveSince, now time.Time) float64 {
	if unresponsiveSince.IsZero() {
		return 0
	}
	return max(0, 1-now.Sub(unresponsiveSince).Seconds()/expectedOutage.Seconds())
}

// priorityReserve returns how many tokens a request leaves for requests of higher
// priority: priorityReserveFraction of target for each level between its priority and
// highest, at most target, scaled by outageFraction. highest is the highest priority that
// this router has seen. target is the target of the last sync. outageFraction is the
// result of outageRemaining. Without the reserve, requests of low priority would use up a
// holding that can't be refilled during an outage.
func priorityReserve(priority, highest granitehoist.Priority, target granitehoist.Tokens, outageFraction float64) granitehoist.Tokens {
	levels := float64(max(0, highest-priority))
	return granitehoist.Tokens(min(1, priorityReserveFraction*levels) * outageFraction * float64(target))
}
