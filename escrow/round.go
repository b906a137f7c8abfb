// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

// round is what one round of a syncer decides from.
type round struct {
	// needed says that requests wait, a limit has changed or a holding is due, of a
	// workspace for which this router uses the record.
	needed bool
	// pausing says that the pause after the store's last failure is not over.
	pausing bool
}

// step is what a syncer does next in a round.
type step int

const (
	// stepNothing ends a round in which nothing is needed.
	stepNothing step = iota
	// stepBorrow asks neighbours for what requests wait for.
	stepBorrow
	// stepSync goes to the record, and asks neighbours as well if that takes long.
	stepSync
)

// next decides what a syncer does: it goes to the record when something is needed,
// and asks neighbours while a store that failed is given a pause.
func (r round) next() step {
	switch {
	case !r.needed:
		return stepNothing
	case r.pausing:
		return stepBorrow
	}
	return stepSync
}
