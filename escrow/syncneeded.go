// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// maxRecordAge is how long after the last response of the store the record is read
	// again. It limits the age of what lenders report of the record.
	maxRecordAge = 2 * time.Second
	// staleIdleThreshold is the fraction of the prepaid total left in the store below
	// which a stored Row.Idle that is too high is corrected.
	staleIdleThreshold = 0.1
	// staleIdleFraction is the fraction of the prepaid total by which the stored Row.Idle
	// must be too high to be corrected.
	staleIdleFraction = 0.001
)

// isRecordStale decides whether the record has to be read although no tokens are needed.
// lastDirectResponse is when the store last responded to this router itself.
func isRecordStale(lastDirectResponse, now time.Time) bool {
	return now.Sub(lastDirectResponse) > maxRecordAge
}

// needsSync decides whether a holding justifies a sync: it is below refillThreshold of its
// target while the store had tokens left at the last sync, or returnInputs.tokens returns
// some of it.
func (r returnInputs) needsSync(c conditions) bool {
	return (r.remaining > 0 && isLow(r.unreserved, r.target, refillThreshold)) || r.tokens(c) > 0
}

// rowNeedsWrite decides whether a row has to be written: tokens were granted or
// returned, or the row reports many more idle tokens than there are while little is
// left. Other routers would otherwise count on borrowing these tokens.
func rowNeedsWrite(stored, next Row, remaining, limit granitehoist.Tokens) bool {
	if next.Granted != stored.Granted || next.Returned != stored.Returned {
		return true
	}
	total := float64(limit)
	return float64(remaining) < staleIdleThreshold*total && float64(stored.Idle-next.Idle) > staleIdleFraction*total
}
