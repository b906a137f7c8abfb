// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// This file decides which nodes are relays. Relays read the configuration, the
// instances and the list of nodes from the store; all others ask a relay, so that
// the store's calls don't grow with the fleet. In a fleet of fewer than
// largeFleet nodes every node is one. In a larger one there is a relay for each
// routersPerRelay nodes, but no fewer than minRelays and no more than relaysPerZone
// for each availability zone. They are those with the fastest links, then those whose
// boxes have the lowest hash, taken from the zones in turn, so that all nodes that
// know the same boxes choose the same relays without a message.
//
// The input is the node's view of the fleet, which is up to listInterval old,
// or older while the store does not answer. Two nodes whose views differ may
// choose different relays. That only costs calls to the store, since nothing
// depends on a node being the only relay.
//
// Measured on tuul-hire-grown quiet-1 (87 boxes): 16,656 calls to the store
// before and 2,626 with relays (commit c1de361, docs/design/platform.md).
const (
	// largeFleet is the number of nodes from which on only some are relays: the
	// sites of 6 to 9 routers stay below it, those of 75 and 87 above. The value
	// between was chosen, not measured; a single writer on the small sites was
	// measured and earned less (docs/design/platform.md).
	largeFleet = 16
	// relaysPerZone is two, so that a zone keeps a relay when one dies. Chosen,
	// not measured against other numbers.
	relaysPerZone = 2
	// routersPerRelay bounds what the relays of a fleet cost: each makes two calls
	// a second, which with ten relays for 17 routers were half of all calls of a
	// day. Chosen, not measured against other numbers.
	routersPerRelay = 15
	// minRelays is how many a large fleet has at least: with a third of the nodes
	// cut off from the store, all of four are in one case of a hundred, and then
	// every node finds out for itself (package follow).
	minRelays = 4
)

// fleetView is the fleet as one node sees it at one moment. It does not change.
// Its methods are the rules that give a node its roles: here and in
// budgetroles.go.
type fleetView struct {
	self peerEntry
	// others holds the neighbours, one entry a box.
	others []peerEntry
	// complete says that enough lists were read from the store for others to
	// hold all neighbours (listsNeeded).
	complete bool
}

// size returns the number of nodes, this one included.
func (v fleetView) size() int { return len(v.others) + 1 }

// isSmall reports whether every node of the fleet reads from the store itself.
func (v fleetView) isSmall() bool { return v.size() < largeFleet }

// relays returns the boxes that are relays.
func (v fleetView) relays() map[granitehoist.Box]bool {
	zones := v.zones()
	limit := v.size()
	if !v.isSmall() {
		limit = min(relaysPerZone*len(zones), max(minRelays, v.size()/routersPerRelay))
	}
	relays := map[granitehoist.Box]bool{}
	for turn := 0; len(relays) < limit; turn++ {
		for _, entries := range zones {
			if turn < len(entries) && len(relays) < limit {
				relays[entries[turn].Box] = true
			}
		}
	}
	return relays
}

// zones returns the nodes of each availability zone, the likeliest relay first, in
// the order of these.
func (v fleetView) zones() [][]peerEntry {
	byZone := map[granitehoist.AvailabilityZone][]peerEntry{}
	for _, entry := range append([]peerEntry{v.self}, v.others...) {
		byZone[entry.Zone] = append(byZone[entry.Zone], entry)
	}
	zones := make([][]peerEntry, 0, len(byZone))
	for _, entries := range byZone {
		slices.SortFunc(entries, compareRelays)
		zones = append(zones, entries)
	}
	slices.SortFunc(zones, func(a, b []peerEntry) int { return compareRelays(a[0], b[0]) })
	return zones
}

// compareRelays orders nodes by how likely they are relays.
func compareRelays(a, b peerEntry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), compareRank(a, b))
}

// isRelay reports whether this node reads from the store itself. A node whose
// view is not complete yet is no relay: in a fleet that is still filling, every
// node would be one.
func (v fleetView) isRelay() bool { return v.complete && v.relays()[v.self.Box] }

// relaysToAsk returns the relays that this node asks in place of the store, those
// of its own availability zone first. It returns none if this node is a relay
// itself, or if its view is not complete yet; it then reads from the store.
func (v fleetView) relaysToAsk() []granitehoist.Peer {
	var peers []granitehoist.Peer
	for _, entry := range v.relayEntries() {
		peers = append(peers, entry.peer())
	}
	return peers
}

// relayEntries returns the entries of relaysToAsk.
func (v fleetView) relayEntries() []peerEntry {
	if !v.complete {
		return nil
	}
	relays := v.relays()
	if relays[v.self.Box] {
		return nil
	}
	var sameZone, otherZones []peerEntry
	for _, other := range v.others {
		switch {
		case !relays[other.Box]:
		case other.Zone == v.self.Zone:
			sameZone = append(sameZone, other)
		default:
			otherZones = append(otherZones, other)
		}
	}
	return append(sameZone, otherZones...)
}

// rankOf orders boxes the same way on all nodes, without a relation to their
// names.
func rankOf(box granitehoist.Box) uint64 { return xxhash.Sum64String(string(box)) }

func compareRank(a, b peerEntry) int { return cmp.Compare(rankOf(a.Box), rankOf(b.Box)) }
