// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Relays speak with the store and follow its changes for the others. In small
// fleets every node is one and writes the record of the budgets. In those of
// largeFleet nodes and more relaysPerZone nodes of each zone are, those with
// the fastest links, and the first of them writes the record for all, so that
// writers don't get in each other's way; while it can't, the next one does.
const (
	largeFleet    = 16
	relaysPerZone = 2
)

// chooseRelays returns the relays by box. All nodes that know the same boxes
// choose the same.
func (p *peers) chooseRelays() map[granitehoist.Box]bool {
	most := relaysPerZone
	if p.small() {
		most = largeFleet
	}
	zones := map[granitehoist.AvailabilityZone][]peerEntry{}
	for _, entry := range append([]peerEntry{p.settings.self}, p.others...) {
		zones[entry.Zone] = append(zones[entry.Zone], entry)
	}
	chosen := map[granitehoist.Box]bool{}
	for _, entries := range zones {
		slices.SortFunc(entries, func(a, b peerEntry) int {
			return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rankOf(a.Box), rankOf(b.Box)))
		})
		for _, entry := range entries[:min(most, len(entries))] {
			chosen[entry.Box] = true
		}
	}
	return chosen
}

// small reports whether every node speaks with the store.
func (p *peers) small() bool { return len(p.others)+1 < largeFleet }

// isRelay reports whether this node speaks with the store itself.
func (p *peers) isRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isRelayLocked()
}

func (p *peers) isRelayLocked() bool {
	if p.listsRead < p.listsNeeded() {
		return false
	}
	return p.chooseRelays()[p.settings.self.Box]
}

// listsNeeded returns how many lists must have been read before the others are
// known.
func (p *peers) listsNeeded() int {
	if p.settings.first {
		return 2
	}
	return 1
}

// relaysToAsk returns the relays for this node, those of its own zone first; none
// if it speaks with the store itself or does not know the others yet.
func (p *peers) relaysToAsk() []granitehoist.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listsRead < p.listsNeeded() {
		return nil
	}
	chosen := p.chooseRelays()
	if chosen[p.settings.self.Box] {
		return nil
	}
	var near, far []granitehoist.Peer
	for _, other := range p.others {
		switch {
		case !chosen[other.Box]:
		case other.Zone == p.settings.self.Zone:
			near = append(near, other.peer())
		default:
			far = append(far, other.peer())
		}
	}
	return append(near, far...)
}

func (e peerEntry) peer() granitehoist.Peer {
	return granitehoist.Peer{Incarnation: e.Incarnation, Address: e.Address}
}

// writesRecord reports whether this node writes the record of the budgets of its own
// accord.
func (p *peers) writesRecord() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listsRead < p.listsNeeded() {
		return false
	}
	return p.small() || p.firstRelay(p.chooseRelays()) == p.settings.self.Box
}

// firstRelay returns the relay whose box has the lowest hash.
func (p *peers) firstRelay(chosen map[granitehoist.Box]bool) granitehoist.Box {
	var first granitehoist.Box
	for box := range chosen {
		if first == "" || rankOf(box) < rankOf(first) {
			first = box
		}
	}
	return first
}

func rankOf(box granitehoist.Box) uint64 { return xxhash.Sum64String(string(box)) }

// sharers returns the number of nodes with which this one shares the budgets.
// Whoever writes the record for all shares with nobody.
func (p *peers) sharers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.small() && p.firstRelay(p.chooseRelays()) == p.settings.self.Box {
		return 1
	}
	return len(p.others) + 1
}

// lenders returns all neighbours: relays in the order in which they write the
// record, then the others, those in the node's own zone before those elsewhere.
func (p *peers) lenders() []granitehoist.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := p.chooseRelays()
	var relays []peerEntry
	var near, far []granitehoist.Peer
	for i := range p.others {
		other := p.others[(p.next+i)%len(p.others)]
		switch {
		case chosen[other.Box]:
			relays = append(relays, other)
		case other.Zone == p.settings.self.Zone:
			near = append(near, other.peer())
		default:
			far = append(far, other.peer())
		}
	}
	p.next++
	slices.SortFunc(relays, func(a, b peerEntry) int { return cmp.Compare(rankOf(a.Box), rankOf(b.Box)) })
	first := make([]granitehoist.Peer, 0, len(relays))
	for _, relay := range relays {
		first = append(first, relay.peer())
	}
	return slices.Concat(first, near, far)
}
