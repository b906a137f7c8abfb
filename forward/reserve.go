// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

const (
	// tokenWaitPart is the part of a route's target for which a request waits
	// for tokens: the users count a refusal as held up from an eighth on. At 0.18 as
	// much was earned (0.12 -0.0043 +- 0.0049 of worth in 16 pairs of days).
	tokenWaitPart = 0.12
	// minTokenWait is the shortest wait for tokens, also on routes without a target.
	minTokenWait = 30 * time.Millisecond
)

// reservation is what a request reserves of its workspace's prepaid tokens.
type reservation struct {
	// needed is false for a request that costs no prepaid tokens. The other
	// fields are zero then.
	needed bool
	// bound is the most tokens that the request can cost.
	bound granitehoist.Tokens
	// wait is how long the request waits for the tokens.
	wait time.Duration
}

// planReservation decides how many tokens a request reserves before its first
// attempt and how long it waits for them. Only requests that state their cost,
// of workspaces with a limit, reserve any. They reserve the most that they can
// cost, since a workspace may never get more than it paid for.
//
// The wait is a small part of the route's target latency, so that a caller which
// can't be served learns it early.
//
// A request that costs more than the prepaid total can never be paid for and is
// refused at once with largerThanBudget. The workspace, its total and
// the target are as old as the configuration in force. A nil workspace or cost
// reserves nothing.
func planReservation(w *catalog.Workspace, c *Cost, target time.Duration) (reservation, refusal) {
	if w == nil || !w.Limited || c == nil {
		return reservation{}, noRefusal
	}
	r := reservation{
		needed: true,
		bound:  c.Bound(),
		wait:   max(minTokenWait, time.Duration(tokenWaitPart*float64(target))),
	}
	if r.bound > w.Prepaid {
		return r, largerThanBudget
	}
	return r, noRefusal
}
