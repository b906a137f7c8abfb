// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// fleetView is what a router knows of the tokens that it doesn't own, from two
// sources, each with the time of its last report. Ledger.mu guards it.
type fleetView struct {
	record recordView
	lender lenderView
}

// recordView is what this router read in the record itself.
type recordView struct {
	// remaining is what the store had left after this router's own write.
	remaining granitehoist.Tokens
	// idleElsewhere is what the rows of other incarnations said to be idle.
	idleElsewhere granitehoist.Tokens
	// readAt is when the record was last read, zero if never.
	readAt time.Time
	// valid is false until the record has been read under the present limit.
	valid bool
}

// lenderView is what a lender that is in touch with the store last reported.
type lenderView struct {
	// remaining is what the store had left, left the same and what is idle at all
	// routers but this one.
	remaining granitehoist.Tokens
	left      granitehoist.Tokens
	// at is when the report arrived, zero if none has.
	at    time.Time
	valid bool
}

// remainingFresh is how old a source may be for a request to be refused at once by
// what it says is left. Chosen, not measured (7965447); it is a
// little more than DefaultInterval, the time between two looks at the holdings.
const remainingFresh = 800 * time.Millisecond

// isFresh reports whether either source is younger than remainingFresh.
func (v *fleetView) isFresh(now time.Time) bool {
	return now.Sub(v.record.readAt) < remainingFresh || now.Sub(v.lender.at) < remainingFresh
}

// lenderIsNewer decides which source to use: the lender's report if it
// arrived after the record was read here.
func (v *fleetView) lenderIsNewer() bool {
	return v.lender.valid && v.lender.at.After(v.record.readAt)
}

// remainingInStore returns what the store has left according to the newer
// source. Without any source it is the whole limit, so that a router that starts
// asks for tokens instead of refusing requests.
func (v *fleetView) remainingInStore(limit granitehoist.Tokens) granitehoist.Tokens {
	switch {
	case v.lenderIsNewer():
		return v.lender.remaining
	case v.record.valid:
		return v.record.remaining
	}
	return limit
}

// reported returns what the store had left by the newer source and the age of that;
// both are zero without any source.
func (v *fleetView) reported(now time.Time) (remaining granitehoist.Tokens, age time.Duration) {
	switch {
	case v.lenderIsNewer():
		return v.lender.remaining, now.Sub(v.lender.at)
	case v.record.readAt.IsZero():
		return 0, 0
	}
	return v.record.remaining, now.Sub(v.record.readAt)
}

// budgetLeft is what is left of a budget in the store and at all routers.
type budgetLeft struct {
	tokens granitehoist.Tokens
	// reported is false if no source has said anything of the present limit.
	reported bool
}

// leftAnywhere returns what is left of the budget in the store, here and at all
// other routers, according to the newer source. unreserved is what is owned here
// now; the other terms are as old as their source.
func (v *fleetView) leftAnywhere(unreserved granitehoist.Tokens) budgetLeft {
	here := max(0, unreserved)
	switch {
	case v.lenderIsNewer():
		return budgetLeft{tokens: v.lender.left + here, reported: true}
	case v.record.valid:
		left := max(0, v.record.remaining) + here + v.record.idleElsewhere
		return budgetLeft{tokens: left, reported: true}
	}
	return budgetLeft{}
}
