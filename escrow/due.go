// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// maxRecordAge is how old the record may become before it is read again, so that what
	// lenders report of it is not old.
	maxRecordAge = 2 * time.Second
	// staleIdleBelow is the part of the prepaid total under which Row.Idle is corrected if
	// it is too high.
	staleIdleBelow = 0.1
	// staleIdlePart is the part of the prepaid total by which Row.Idle must be too high
	// for that.
	staleIdlePart = 0.001
)

// isRecordOld decides whether the record has to be read although nothing is
// wanted. lastSync is when the store last answered this router itself.
func isRecordOld(lastDirectAnswer, now time.Time) bool {
	return now.Sub(lastDirectAnswer) > maxRecordAge
}

// needsSync decides whether a holding is worth a sync: it is low and the store has
// tokens left, or so much is held that storeReturn.tokens returns some. What is known of the store is as
// old as the last sync.
func (r storeReturn) needsSync(c conditions) bool {
	return (r.remaining > 0 && isLow(r.unreserved, r.target, refillBelow)) || r.tokens(c) > 0
}

// isRowStale decides whether a row has to be written: tokens were granted or
// returned, or the row reports many more idle tokens than there are while
// little is left. Others then take them for what they may still get by a loan.
func isRowStale(stored, next Row, remaining, limit granitehoist.Tokens) bool {
	if next.Granted != stored.Granted || next.Returned != stored.Returned {
		return true
	}
	total := float64(limit)
	return float64(remaining) < staleIdleBelow*total && float64(stored.Idle-next.Idle) > staleIdlePart*total
}
