// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// fleetView is what a router knows of the tokens that it doesn't own: those in the store
// and those of other routers. It has two sources, each with the time of its last report.
// Ledger.mu guards it.
type fleetView struct {
	record recordView
	lender lenderView
}

// recordView is what this router read in the record itself.
type recordView struct {
	// remaining is what the store has left according to this router's last sync, after
	// the grants and returns that the sync prepared.
	remaining granitehoist.Tokens
	// idleOfOthers is the sum of Row.Idle over the rows of other incarnations.
	idleOfOthers granitehoist.Tokens
	// readAt is when a sync last prepared this router's row, zero if none has.
	readAt time.Time
	// valid is false until the record has been read under the present limit.
	valid bool
}

// lenderView is the last report of a lender that is connected to the store.
type lenderView struct {
	// remaining is what the store had left. totalRemaining adds the unreserved tokens of
	// the lender and Row.Idle of the routers other than the lender.
	remaining      granitehoist.Tokens
	totalRemaining granitehoist.Tokens
	// at is when the report arrived, zero if none has.
	at    time.Time
	valid bool
}

// maxReportAge limits the age of reports that refuse requests at once: without a report
// younger than this, a request waits. It is a little more than DefaultInterval.
const maxReportAge = 800 * time.Millisecond

// isFresh reports whether either source is younger than maxReportAge.
func (v *fleetView) isFresh(now time.Time) bool {
	return now.Sub(v.record.readAt) < maxReportAge || now.Sub(v.lender.at) < maxReportAge
}

// lenderIsNewer reports whether the lender's report arrived after this router last read
// the record. The report is then used instead of the record.
func (v *fleetView) lenderIsNewer() bool {
	return v.lender.valid && v.lender.at.After(v.record.readAt)
}

// remainingInStore returns what the store has left according to the newer source.
// Without any source it is the whole limit, so that a starting router requests tokens
// instead of refusing requests.
func (v *fleetView) remainingInStore(limit granitehoist.Tokens) granitehoist.Tokens {
	switch {
	case v.lenderIsNewer():
		return v.lender.remaining
	case v.record.valid:
		return v.record.remaining
	}
	return limit
}

// reported returns what the store had left according to the newer source, and the age of
// that report; both are zero without any source.
func (v *fleetView) reported(now time.Time) (remaining granitehoist.Tokens, age time.Duration) {
	switch {
	case v.lenderIsNewer():
		return v.lender.remaining, now.Sub(v.lender.at)
	case v.record.readAt.IsZero():
		return 0, 0
	}
	return v.record.remaining, now.Sub(v.record.readAt)
}

// remainingBudget is what remains of a budget in the store and at all routers.
type remainingBudget struct {
	tokens granitehoist.Tokens
	// known is false if no source has reported under the present limit.
	known bool
}

// totalRemaining returns what remains of the budget in the store, at this router and at
// other routers, according to the newer source. unreserved is what this router owns and
// has not reserved now; it can be negative and then counts as zero. The other terms are
// as old as their source.
func (v *fleetView) totalRemaining(unreserved granitehoist.Tokens) remainingBudget {
	own := max(0, unreserved)
	switch {
	case v.lenderIsNewer():
		return remainingBudget{tokens: v.lender.totalRemaining + own, known: true}
	case v.record.valid:
		total := max(0, v.record.remaining) + own + v.record.idleOfOthers
		return remainingBudget{tokens: total, known: true}
	}
	return remainingBudget{}
}
