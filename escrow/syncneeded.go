// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// maxRecordAge is the age at which the record is read again, which bounds the age of
	// what lenders report of it.
	maxRecordAge = 2 * time.Second
	// staleIdleThreshold is the fraction of the prepaid total under which a Row.Idle
	// that is too high is corrected.
	staleIdleThreshold = 0.1
	// staleIdleFraction is the fraction of the prepaid total by which Row.Idle must be
	// too high to be corrected.
	staleIdleFraction = 0.001
)

// isRecordStale decides whether the record has to be read although no tokens are needed.
// lastDirectResponse is when the store last responded to this router itself.
func isRecordStale(lastDirectResponse, now time.Time) bool {
	return now.Sub(lastDirectResponse) > maxRecordAge
}

// needsSync decides whether a holding justifies a sync: it is low and the store has
// tokens left, or it is so large that tokens returns some. The state of the store is
// that of the last sync.
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
