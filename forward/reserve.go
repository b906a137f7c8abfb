// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

const (
	// tokenWaitFraction is the fraction of a route's latency target for which a request
	// waits for tokens, so that a caller learns of a refusal early.
	tokenWaitFraction = 0.12
	// minTokenWait is the minimum wait for tokens, also on routes without a target.
	minTokenWait = 30 * time.Millisecond
)

// reservation is the number of prepaid tokens that a request reserves.
type reservation struct {
	// needed is false for a request that uses no prepaid tokens. The other fields are
	// zero then.
	needed bool
	// maxCost is the maximum cost of the request.
	maxCost granitehoist.Tokens
	// wait is how long the request waits for the tokens.
	wait time.Duration
}

// planReservation returns the tokens that a request reserves before its first attempt:
// its maximum cost, since a workspace must never receive more than it has paid for.
// Workspaces without a limit reserve nothing, and neither do requests without a cost to a
// service that is not metered; w and c may be nil. target is the latency target of the route,
// of which the wait is a fraction.
//
// A request to a metered service must state its maximum cost, since it would be free
// otherwise. Without one, or with one out of range, it is refused with costInvalid. A request
// whose maximum cost exceeds the prepaid total is refused with largerThanBudget.
func planReservation(w *catalog.Workspace, c *Cost, metered bool, target time.Duration) (reservation, refusal) {
	switch {
	case w == nil || !w.Limited, c == nil && !metered:
		return reservation{}, noRefusal
	case c == nil || !c.valid():
		return reservation{}, costInvalid
	}
	r := reservation{
		needed:  true,
		maxCost: c.Total(),
		wait:    max(minTokenWait, time.Duration(tokenWaitFraction*float64(target))),
	}
	if r.maxCost > w.Prepaid {
		return r, largerThanBudget
	}
	return r, noRefusal
}
