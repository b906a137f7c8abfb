// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"sort"

	"granitehoist.example/granitehoist"
)

const (
	// refillBelow is the part of the target under which a holding is low and more
	// tokens are asked for. Chosen (f7eef06). At holders of a fleet of 86 routers a half
	// made 7 % fewer calls to the store, and earned no more: -0.044 +- 0.053 of worth
	// in three pairs of days.
	refillBelow = 0.75
	// joinBelow is the part under which a holding is filled if the record is going to be
	// written for another workspace anyway.
	joinBelow = 0.9
)

// isLow decides whether a holding is so far below its target that more tokens are
// to be asked for; lowBelow is refillBelow or joinBelow.
func isLow(unreserved, target granitehoist.Tokens, lowBelow float64) bool {
	return float64(unreserved) < lowBelow*float64(target)
}

// refill is what the size of a grant depends on.
type refill struct {
	// remaining is what the store has left, unreserved what is owned here.
	remaining, unreserved granitehoist.Tokens
	// target is what should be held ahead of requests, lack what waiting requests
	// need beyond what is owned.
	target, lack granitehoist.Tokens
	// lowBelow is the part of the target under which the holding is filled.
	lowBelow float64
}

// grant decides how many tokens a router asks the store for now: what waiting
// requests lack and, if there are such or the holding is low, what fills the
// holding; never more than the store has.
func (r refill) grant() granitehoist.Tokens {
	if r.remaining <= 0 {
		return 0
	}
	if r.lack == 0 && !isLow(r.unreserved, r.target, r.lowBelow) {
		return 0
	}
	return max(0, min(r.remaining, r.lack+max(0, r.target-max(0, r.unreserved))))
}

// lackOf returns what waiting requests of the given bounds need beyond what is
// owned. Only those count that what the store has and what is owned can pay for,
// the smallest first, so that a large one does not keep small ones from being
// served. bounds is sorted in place.
func lackOf(bounds []granitehoist.Tokens, remaining, unreserved granitehoist.Tokens) granitehoist.Tokens {
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	own := max(0, unreserved)
	var sum granitehoist.Tokens
	for _, bound := range bounds {
		if sum+bound > remaining+own {
			break
		}
		sum += bound
	}
	return max(0, sum-own)
}
