// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// minHeadroomFraction is the least headroom of an announced ceiling, as a fraction of
	// what the store has left.
	minHeadroomFraction = 0.5
	// headroomFactor is the headroom of an announced ceiling, as a multiple of what is spent
	// in the loss window and the cover at the present rate.
	headroomFactor = 2.0
	// headroomRequests is the least headroom, in requests of the largest maximum cost.
	headroomRequests = 64
	// lowHeadroom is the fraction of the headroom below which a ceiling that bounds grants
	// is raised although nothing else has to be written, and highHeadroom the multiple above
	// which a ceiling is lowered.
	lowHeadroom, highHeadroom = 0.75, 1.5
)

// ceilingInputs holds the inputs of the ceiling that an account announces.
type ceilingInputs struct {
	// remaining is what the store has left. rate is the rate of spending of all routers, in
	// tokens a second, and largest the largest maximum cost of a request.
	remaining, largest granitehoist.Tokens
	rate               float64
	// isRateKnown is set once the rate has been observed for long enough.
	isRateKnown bool
	// isBound is set if the present ceiling allows less than a router wants, so that the rate
	// of spending understates the demand.
	isBound bool
	// window is the loss window, cover how long holdings should last.
	window, cover time.Duration
}

// headroom returns how much more than its outstanding tokens an account announces, noCeiling
// if that is all.
func (i ceilingInputs) headroom() granitehoist.Tokens {
	left := float64(max(0, i.remaining))
	demand := headroomFactor * i.rate * (i.window + i.cover).Seconds()
	wanted := max(minHeadroomFraction*left, demand, headroomRequests*float64(i.largest))
	if !i.isRateKnown || i.isBound || wanted >= left {
		return noCeiling
	}
	return granitehoist.Tokens(wanted)
}

// needsRaise reports whether the ceiling of an account has to be raised although nothing
// else is written.
func (i ceilingInputs) needsRaise(account *StoredAccount) bool {
	return i.isBound && float64(account.Ceiling-account.Outstanding()) < lowHeadroom*float64(min(i.headroom(), noCeiling-account.Outstanding()))
}
