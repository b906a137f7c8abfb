// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"sort"

	"granitehoist.example/granitehoist"
)

const (
	// refillThreshold is the fraction of the target under which a holding is low and
	// more tokens are requested.
	refillThreshold = 0.75
	// jointRefillThreshold replaces refillThreshold if the record is written for another
	// workspace anyway.
	jointRefillThreshold = 0.9
)

// isLow decides whether a holding is so far below its target that more tokens are to be
// requested; threshold is refillThreshold or jointRefillThreshold.
func isLow(unreserved, target granitehoist.Tokens, threshold float64) bool {
	return float64(unreserved) < threshold*float64(target)
}

// grantInputs holds the inputs of the size of a grant.
type grantInputs struct {
	// remaining is what the store has left, unreserved what is owned here.
	remaining, unreserved granitehoist.Tokens
	// target is what should be held ahead of requests, shortfall what waiting requests
	// need beyond what is owned.
	target, shortfall granitehoist.Tokens
	// threshold is the fraction of the target under which the holding is filled.
	threshold float64
}

// grant decides how many tokens to request from the store. If there is no shortfall and
// the holding is not low, it requests none. Otherwise it requests the shortfall and what
// fills the holding up to its target, at most what the store has left.
func (g grantInputs) grant() granitehoist.Tokens {
	if g.remaining <= 0 {
		return 0
	}
	if g.shortfall == 0 && !isLow(g.unreserved, g.target, g.threshold) {
		return 0
	}
	return max(0, min(g.remaining, g.shortfall+max(0, g.target-max(0, g.unreserved))))
}

// shortfallOf returns what waiting requests with the given bounds need beyond what is
// owned. It counts the smallest requests first, as far as the store and the owned tokens
// can cover them, so that a large one does not block small ones. bounds is sorted in
// place.
func shortfallOf(bounds []granitehoist.Tokens, remaining, unreserved granitehoist.Tokens) granitehoist.Tokens {
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
