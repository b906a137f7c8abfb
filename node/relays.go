// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Relays read the configuration, the instances and the node list from the store; all
// other nodes query a relay, so that the load on the store does not grow with the fleet.
// In a fleet of fewer than largeFleet nodes every node is a relay. In a larger one the
// number of relays is one for each routersPerRelay nodes, but at least minRelays, and
// never more than relaysPerZone times the number of availability zones.
//
// Relays are taken from the availability zones in turn. Within a zone, nodes with faster
// links come first, and nodes with equal links are ordered by the hash of their box. All
// nodes that know the same boxes therefore select the same relays without coordination.
// Nodes with different views may select different relays, which only costs additional
// calls to the store.
const (
	// largeFleet is the number of nodes from which on only some are relays.
	largeFleet = 16
	// relaysPerZone bounds the average number of relays in an availability zone. With two,
	// a zone keeps a relay when one fails. No other number was measured.
	relaysPerZone = 2
	// routersPerRelay limits the number of relays, since each makes two calls to the store
	// per second. Ten relays for 17 routers made half of all calls to the store.
	routersPerRelay = 15
	// minRelays is the minimum in a large fleet, so that a partial loss of the store rarely
	// cuts off all relays at once. If a third of the nodes is cut off from the store, all
	// of four relays are in one case of a hundred.
	minRelays = 4
)

// fleetView is an immutable snapshot of the fleet as one node sees it. Its methods,
// in relays.go and budgetroles.go, assign the node's roles.
type fleetView struct {
	self peerEntry
	// others holds the neighbours, one entry per box.
	others []peerEntry
	// regions holds the region of each availability zone; a zone that it lacks is in the
	// region with the empty name.
	regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// complete says that enough lists were read from the store for others to hold all
	// neighbours (listsNeeded).
	complete bool
}

// size returns the number of nodes, this one included.
func (v fleetView) size() int { return len(v.others) + 1 }

// isSmall reports whether every node of the fleet reads the store itself.
func (v fleetView) isSmall() bool { return v.size() < largeFleet }

// relays returns the set of boxes that are relays.
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

// zones returns the nodes of each availability zone, in order of relay preference, with
// the zones ordered by their first node.
func (v fleetView) zones() [][]peerEntry {
	byZone := map[granitehoist.AvailabilityZone][]peerEntry{}
	for _, entry := range append([]peerEntry{v.self}, v.others...) {
		byZone[entry.Zone] = append(byZone[entry.Zone], entry)
	}
	zones := make([][]peerEntry, 0, len(byZone))
	for _, entries := range byZone {
		slices.SortFunc(entries, compareRelayPreference)
		zones = append(zones, entries)
	}
	slices.SortFunc(zones, func(a, b []peerEntry) int { return compareRelayPreference(a[0], b[0]) })
	return zones
}

// compareRelayPreference orders nodes by preference as relays: faster links first.
func compareRelayPreference(a, b peerEntry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), compareBoxHash(a, b))
}

// isRelay reports whether this node reads the store itself. It returns false while the
// view is incomplete: otherwise every node of a starting fleet would be a relay.
func (v fleetView) isRelay() bool { return v.complete && v.relays()[v.self.Box] }

// relaysToAsk returns the relays that this node queries instead of the store, those of
// its own availability zone first, then those of its region. It returns none if this node is a relay or its view is
// incomplete; the node then reads the store.
func (v fleetView) relaysToAsk() []granitehoist.Peer {
	var peers []granitehoist.Peer
	for _, entry := range v.relayEntries() {
		peers = append(peers, entry.peer())
	}
	return peers
}

// relayEntries returns the node entries of relaysToAsk.
func (v fleetView) relayEntries() []peerEntry {
	if !v.complete {
		return nil
	}
	relays := v.relays()
	if relays[v.self.Box] {
		return nil
	}
	var sameZone, otherZones, otherRegions []peerEntry
	for _, other := range v.others {
		switch {
		case !relays[other.Box]:
		case other.Zone == v.self.Zone:
			sameZone = append(sameZone, other)
		case v.isFar(other):
			otherRegions = append(otherRegions, other)
		default:
			otherZones = append(otherZones, other)
		}
	}
	return slices.Concat(sameZone, otherZones, otherRegions)
}

// nearRelaysToAsk returns those of relaysToAsk that are in this node's region.
func (v fleetView) nearRelaysToAsk() []granitehoist.Peer {
	var peers []granitehoist.Peer
	for _, entry := range v.relayEntries() {
		if !v.isFar(entry) {
			peers = append(peers, entry.peer())
		}
	}
	return peers
}

// boxHash gives boxes an order that is the same on all nodes and unrelated to their
// names.
func boxHash(box granitehoist.Box) uint64 { return xxhash.Sum64String(string(box)) }

func compareBoxHash(a, b peerEntry) int { return cmp.Compare(boxHash(a.Box), boxHash(b.Box)) }
