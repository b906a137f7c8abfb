// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

// relayFailureLimit is how often relays may fail to help a router before it goes
// to the record itself. The count starts again when they help. Chosen, not measured
// (0c0db10).
const relayFailureLimit = 3

// relayAnswer is what came of asking the relays in one round of a syncer.
type relayAnswer int

const (
	// relaysNotAsked says that they have not been asked in this round.
	relaysNotAsked relayAnswer = iota
	// relaysHelped says that they have done what can be done.
	relaysHelped
	// relaysFailed says that the record may do more.
	relaysFailed
)

// round is what one round of a syncer decides from. All of it is of this round
// but relayFailures.
type round struct {
	// needed says that requests wait, a limit has changed or isDue holds.
	needed bool
	// writes is SyncerSettings.Writes.
	writes bool
	// relays is what came of asking the relays in this round.
	relays relayAnswer
	// relayFailures counts the rounds in which they failed since they last helped,
	// this one left out.
	relayFailures int
	// pausing says that the pause after the store's last failure is not over.
	pausing bool
}

// step is what a syncer does next in a round.
type step int

const (
	// stepNothing ends a round in which nothing is needed.
	stepNothing step = iota
	// stepRepay gives relays back what is held beyond need.
	stepRepay
	// stepAskRelays asks relays to fill the holdings. The round goes on with what
	// comes of it.
	stepAskRelays
	// stepCountFailure leaves it to the next round to ask relays again.
	stepCountFailure
	// stepBorrow asks neighbours for what requests wait for.
	stepBorrow
	// stepSync goes to the record, and asks neighbours as well if that takes long.
	stepSync
)

// next decides what a syncer does. One that writes the record goes to it when
// something is needed. One that doesn't asks relays first and goes to the record
// itself only when they have failed relayFailureLimit times, since many writers of
// one record keep each other from writing it. After relays have helped, what is
// still missing can only be idle at neighbours; neighbours are asked as well while
// a failed store is given a pause.
func (r round) next() step {
	switch {
	case !r.needed && r.writes:
		return stepNothing
	case !r.needed:
		return stepRepay
	case !r.writes && r.relays == relaysNotAsked:
		return stepAskRelays
	case !r.writes && r.relays == relaysHelped:
		return stepBorrow
	case !r.writes && r.relayFailures < relayFailureLimit:
		return stepCountFailure
	case r.pausing:
		return stepBorrow
	}
	return stepSync
}
