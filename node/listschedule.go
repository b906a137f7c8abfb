// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "time"

const (
	// listInterval is the time from one list of nodes to the next. Chosen, not
	// measured on its own: commit f7eef06 doubled it from 4 s to make fewer calls
	// to the store. New nodes greet their neighbours, so that the list is not the
	// only way to learn of them.
	listInterval = 8 * time.Second
	// listRetryPause is the time to the next attempt after a list failed.
	// Chosen, not measured.
	listRetryPause = 300 * time.Millisecond
	// firstListPause is the time in which all nodes of a fleet enter themselves
	// at its first start. Chosen, not measured on its own; commit 0c0db10
	// measured that carga-andina-grown quiet-1 earned 0.04 without the wait for a
	// second list and 0.27 with it.
	firstListPause = 1500 * time.Millisecond
	// listsAtFirstStart and listsAtStart are how many lists a node reads before it
	// takes its view of the fleet to be complete. At the first start of a whole
	// fleet the first list lacks those that start at the same time.
	listsAtFirstStart = 2
	// listsAtStart is one: all other nodes are in the first list that is read.
	listsAtStart = 1
)

// listsNeeded returns how many lists a node has to read from the store before
// its view of the fleet counts as complete; first says that the whole fleet
// starts for the first time.
func listsNeeded(first bool) int {
	if first {
		return listsAtFirstStart
	}
	return listsAtStart
}

// listAttempt is what one attempt to learn the list of nodes came to.
type listAttempt struct {
	// failed says that neither a relay nor the store gave the list.
	failed bool
	// complete says that enough lists were read by now.
	complete bool
}

// pause returns the time until the list is read again: soon after a failure,
// after firstListPause while the fleet is still filling, else at the usual
// interval.
func (a listAttempt) pause() time.Duration {
	switch {
	case a.failed:
		return listRetryPause
	case !a.complete:
		return firstListPause
	default:
		return listInterval
	}
}

// shouldGreet decides whether neighbours are greeted after the attempt: until
// that was done once beside a list that could be read, since the store reports
// a new incarnation to them late, and for as long as the list can't be read,
// since the store then reports nothing at all.
func (a listAttempt) shouldGreet(greetedBefore bool) bool { return a.failed || !greetedBefore }
