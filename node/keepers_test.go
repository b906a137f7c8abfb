// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"testing"

	"granitehoist.example/granitehoist"
)

// fleetOf returns the peers of each node of a fleet in three places.
func fleetOf(count int) []*peers {
	var entries []peerEntry
	for i := range count {
		entries = append(entries, peerEntry{
			Incarnation: granitehoist.Incarnation(fmt.Sprint("inc-", i)),
			Box:         granitehoist.Box(fmt.Sprint("edge-", i)),
			Place:       granitehoist.Place(fmt.Sprint("place-", i%3)),
			Address:     fmt.Sprint("10.0.0.", i),
		})
	}
	var all []*peers
	for i, self := range entries {
		p := newPeers(peersSettings{self: self})
		p.others = append(append([]peerEntry(nil), entries[:i]...), entries[i+1:]...)
		p.listed = 1
		all = append(all, p)
	}
	return all
}

// TestKeepers checks that a small fleet has only keepers, and that all nodes of
// a large one agree on two a place and ask those of their own place first.
func TestKeepers(t *testing.T) {
	for _, p := range fleetOf(9) {
		if !p.keeps() || p.sharers() != 9 {
			t.Fatalf("%s: keeper %v, %d sharers", p.settings.self.Box, p.keeps(), p.sharers())
		}
	}
	keepers := map[granitehoist.Incarnation]granitehoist.Place{}
	fleet := fleetOf(60)
	for _, p := range fleet {
		if p.keeps() {
			keepers[p.settings.self.Incarnation] = p.settings.self.Place
		}
	}
	if len(keepers) != 6 {
		t.Fatalf("%d keepers: %v", len(keepers), keepers)
	}
	for _, p := range fleet {
		first := p.lenders()[0].Incarnation
		if keepers[first] != p.settings.self.Place {
			t.Fatalf("%s asks %s first, a keeper of %q", p.settings.self.Box, first, keepers[first])
		}
	}
}

// TestFirstStart checks that nobody takes itself for a keeper before the list
// of nodes has had time to fill.
func TestFirstStart(t *testing.T) {
	p := newPeers(peersSettings{first: true})
	p.listed = 1
	if p.keeps() {
		t.Fatal("a keeper after one list of a first start")
	}
	p.listed = 2
	if !p.keeps() {
		t.Fatal("no keeper after two lists")
	}
}
