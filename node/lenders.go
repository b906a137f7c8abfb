// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"slices"

	"granitehoist.example/granitehoist"
)

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
