// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// newTestPeers returns the peers of each node of a fleet in three availability zones.
func newTestPeers(count int) []*peers {
	var entries []peerEntry
	for i := range count {
		entries = append(entries, peerEntry{
			Incarnation: granitehoist.Incarnation(fmt.Sprint("inc-", i)),
			Box:         granitehoist.Box(fmt.Sprint("edge-", i)),
			Zone:        granitehoist.AvailabilityZone(fmt.Sprint("place-", i%3)),
			Address:     fmt.Sprint("10.0.0.", i),
		})
	}
	var all []*peers
	for i, self := range entries {
		p := newPeers(peersSettings{self: self})
		p.others = append(append([]peerEntry(nil), entries[:i]...), entries[i+1:]...)
		p.listsRead = 1
		all = append(all, p)
	}
	return all
}

// TestRelays guards against nodes of a large fleet that disagree on the relays or ask one
// of another zone first, and against nodes of a small fleet that ask relays.
func TestRelays(t *testing.T) {
	for _, p := range newTestPeers(9) {
		if !p.isRelay() || p.role(testShard) != escrow.RoleDirect || len(p.relaysToAsk()) > 0 || p.routers() != 9 {
			t.Fatalf("%s: relay %v, role %v, relays %v, %d routers", p.settings.self.Box, p.isRelay(), p.role(testShard), p.relaysToAsk(), p.routers())
		}
	}
	relays := map[granitehoist.Incarnation]granitehoist.AvailabilityZone{}
	fleet := newTestPeers(90)
	for _, p := range fleet {
		if p.isRelay() {
			relays[p.settings.self.Incarnation] = p.settings.self.Zone
		}
	}
	if len(relays) != 6 {
		t.Fatalf("%d relays: %v", len(relays), relays)
	}
	for _, p := range fleet {
		asked := p.relaysToAsk()
		if p.isRelay() {
			continue
		}
		if first := asked[0].Incarnation; relays[first] != p.settings.self.Zone {
			t.Fatalf("%s asks %s first, a relay of %q", p.settings.self.Box, first, relays[first])
		}
	}
}

// TestRelayCount guards against a wrong number of relays and an uneven distribution over
// three availability zones.
func TestRelayCount(t *testing.T) {
	for _, c := range []struct{ routers, relays int }{{9, 9}, {16, 4}, {30, 4}, {60, 4}, {75, 5}, {90, 6}, {300, 6}} {
		t.Run(fmt.Sprint(c.routers), func(t *testing.T) {
			v := newTestPeers(c.routers)[0].view()
			zones := map[granitehoist.AvailabilityZone]int{}
			for _, entry := range append(slices.Clone(v.others), v.self) {
				if v.relays()[entry.Box] {
					zones[entry.Zone]++
				}
			}
			counts := slices.Sorted(maps.Values(zones))
			if sum := len(v.relays()); sum != c.relays || len(counts) != 3 || counts[2]-counts[0] > 1 {
				t.Fatalf("%d relays, by zone %v", sum, zones)
			}
		})
	}
}

// TestNoRelayDuringBootstrap guards against nodes that become relays before the node list
// of a new fleet is complete.
func TestNoRelayDuringBootstrap(t *testing.T) {
	p := newPeers(peersSettings{bootstrap: true})
	p.listsRead = 1
	if p.isRelay() {
		t.Fatal("a relay after one list of a first start")
	}
	p.listsRead = 2
	if !p.isRelay() {
		t.Fatal("no relay after two lists")
	}
}

// TestRelaysHaveFastestLinks guards against relays and token holders on boxes with slow
// links.
func TestRelaysHaveFastestLinks(t *testing.T) {
	fleet := newTestPeers(90)
	fast := map[granitehoist.Box]bool{"edge-7": true, "edge-8": true, "edge-9": true, "edge-30": true, "edge-31": true, "edge-32": true}
	for _, p := range fleet {
		if fast[p.settings.self.Box] {
			p.settings.self.LinkMbps = 200
		}
		for i := range p.others {
			if fast[p.others[i].Box] {
				p.others[i].LinkMbps = 200
			}
		}
	}
	holders := map[granitehoist.Incarnation]bool{}
	for _, p := range fleet {
		if p.isRelay() != fast[p.settings.self.Box] {
			t.Fatalf("%s: relay %v", p.settings.self.Box, p.isRelay())
		}
		if p.role(testShard) == escrow.RoleHolder {
			holders[p.settings.self.Incarnation] = fast[p.settings.self.Box]
		}
		if relays := p.relaysToAsk(); p.isRelay() == (len(relays) == 6) {
			t.Fatalf("%s has relays %v", p.settings.self.Box, relays)
		}
	}
	if len(holders) != 1 {
		t.Fatalf("holders %v", holders)
	}
	for _, p := range fleet {
		if first := p.lenders(testShard)[0].Incarnation; !holders[first] && p.role(testShard) != escrow.RoleHolder {
			t.Fatalf("%s asks %v first, holders are %v", p.settings.self.Box, first, holders)
		}
	}
}
