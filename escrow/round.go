// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

// round holds the inputs of the decision of one round of a syncer.
type round struct {
	// needed is set if requests wait, a limit has changed or a holding needs a sync, in
	// a workspace for which this router uses the record.
	needed bool
	// backingOff is set during the backoff after a failure of the store.
	backingOff bool
}

// step is the action of a syncer in a round.
type step int

const (
	// stepNothing does nothing.
	stepNothing step = iota
	// stepBorrow borrows from neighbours for waiting requests.
	stepBorrow
	// stepSync syncs the record, and also borrows from neighbours if the sync takes long.
	stepSync
)

// next returns the action of a round: nothing if no sync is needed, a loan during the
// backoff after a failure of the store, otherwise a sync.
func (r round) next() step {
	switch {
	case !r.needed:
		return stepNothing
	case r.backingOff:
		return stepBorrow
	}
	return stepSync
}
