// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"slices"

	"granitehoist.example/granitehoist"
)

// This file decides which nodes write the record of the budgets, and which ones a
// node asks for a loan of tokens. In a small fleet every node writes. In a large
// one the relay whose box has the lowest hash writes for all, so that writers
// don't conflict with each other; the others borrow from it (lenders). While it
// can't write, the next relay does: a node that gets no loan from the relays goes
// to the store itself (escrow.Syncer). So a wrong answer here costs conflicts and
// time, never tokens.
//
// Measured on tuul-hire-grown quiet-1 (87 boxes): 1,368 of 1,798 writes
// conflicted with six writers, 8 of 374 with one (commit c1de361,
// docs/design/platform.md).

// writer returns the box of the relay that writes for all of a large fleet.
func (v fleetView) writer() granitehoist.Box {
	var first granitehoist.Box
	for box := range v.relays() {
		if first == "" || rankOf(box) < rankOf(first) {
			first = box
		}
	}
	return first
}

// writesRecord reports whether this node writes the record without having asked
// the relays first. A node whose view is not complete yet does not.
func (v fleetView) writesRecord() bool {
	if !v.complete {
		return false
	}
	return v.isSmall() || v.writer() == v.self.Box
}

// sharers returns the number of nodes among which this one shares the tokens that
// the record has left, itself included. The writer of a large fleet takes for all
// and lends to them, so that it shares with no other node.
func (v fleetView) sharers() int {
	if v.lendsToAll() {
		return 1
	}
	return v.size()
}

// lendsToAll reports whether this node is the writer of a large fleet.
func (v fleetView) lendsToAll() bool { return !v.isSmall() && v.writer() == v.self.Box }

// lenders returns all neighbours in the order in which this node asks them for a
// loan of tokens. Relays come first, by the rank of their boxes: the first of
// them writes the record for a large fleet and the next ones stand in for it, so
// that all nodes ask the same relay. Then come the others, those of this node's
// own availability zone before those elsewhere, since calls within a zone are
// shorter and go on when zones are cut from each other. Within these two groups
// the order begins at index next of the neighbours, which grows with each call,
// so that the same neighbour is not always asked first.
func (v fleetView) lenders(next int) []granitehoist.Peer {
	relayBoxes := v.relays()
	var relays []peerEntry
	var sameZone, otherZones []granitehoist.Peer
	for i := range v.others {
		other := v.others[(next+i)%len(v.others)]
		switch {
		case relayBoxes[other.Box]:
			relays = append(relays, other)
		case other.Zone == v.self.Zone:
			sameZone = append(sameZone, other.peer())
		default:
			otherZones = append(otherZones, other.peer())
		}
	}
	slices.SortFunc(relays, compareRank)
	first := make([]granitehoist.Peer, 0, len(relays))
	for _, relay := range relays {
		first = append(first, relay.peer())
	}
	return slices.Concat(first, sameZone, otherZones)
}
