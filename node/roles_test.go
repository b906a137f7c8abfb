// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"slices"
	"testing"

	"granitehoist.example/granitehoist"
)

// viewOf returns the view that the first of the given boxes has of the others,
// all in one availability zone except those that zones names.
func viewOf(complete bool, zones map[granitehoist.Box]granitehoist.AvailabilityZone, boxes ...granitehoist.Box) fleetView {
	var entries []peerEntry
	for _, box := range boxes {
		entry := entryOf(box, granitehoist.Incarnation(box)+"-1")
		entry.Zone = "hall"
		if zone, ok := zones[box]; ok {
			entry.Zone = zone
		}
		entries = append(entries, entry)
	}
	return fleetView{self: entries[0], others: entries[1:], complete: complete}
}

// numbered returns the names of count boxes, by their rank.
func numbered(count int) []granitehoist.Box {
	var boxes []granitehoist.Box
	for i := range count {
		boxes = append(boxes, granitehoist.Box(fmt.Sprint("edge-", i)))
	}
	slices.SortFunc(boxes, func(a, b granitehoist.Box) int { return compareRank(peerEntry{Box: a}, peerEntry{Box: b}) })
	return boxes
}

// startingWith returns boxes with the one at index first, so that viewOf gives
// its view.
func startingWith(boxes []granitehoist.Box, index int) []granitehoist.Box {
	return append([]granitehoist.Box{boxes[index]}, slices.Delete(slices.Clone(boxes), index, index+1)...)
}

// roles is what a node does in the fleet.
type roles struct {
	relay, writes  bool
	sharers, asked int
}

func expectRoles(t *testing.T, v fleetView, want roles) {
	t.Helper()
	got := roles{relay: v.isRelay(), writes: v.writesRecord(), sharers: v.sharers(), asked: len(v.relaysToAsk())}
	if got != want {
		t.Fatalf("%s of %d: %+v, not %+v", v.self.Box, v.size(), got, want)
	}
}

// TestRoles checks which nodes are relays, who writes the record, with how many
// it is shared and how many relays are asked. Boxes are numbered by rank.
func TestRoles(t *testing.T) {
	small, large := numbered(largeFleet-1), numbered(largeFleet)
	cases := []struct {
		name     string
		complete bool
		boxes    []granitehoist.Box
		want     roles
	}{
		{"alone", true, numbered(1), roles{relay: true, writes: true, sharers: 1}},
		{"small fleet, lowest rank", true, startingWith(small, 0), roles{relay: true, writes: true, sharers: 15}},
		{"small fleet, highest rank", true, startingWith(small, 14), roles{relay: true, writes: true, sharers: 15}},
		{"large fleet, lowest rank", true, startingWith(large, 0), roles{relay: true, writes: true, sharers: 1}},
		{"large fleet, second relay", true, startingWith(large, 1), roles{relay: true, sharers: 16}},
		{"large fleet, behind relays", true, startingWith(large, 2), roles{sharers: 16, asked: 2}},
		{"small fleet, view not complete", false, startingWith(small, 0), roles{sharers: 15}},
		{"large fleet, view not complete", false, startingWith(large, 5), roles{sharers: 16}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRoles(t, viewOf(c.complete, nil, c.boxes...), c.want) })
	}
}

func expectLenders(t *testing.T, v fleetView, next int, want ...granitehoist.Box) {
	t.Helper()
	var got []granitehoist.Box
	for _, lender := range v.lenders(next) {
		for _, other := range v.others {
			if other.peer() == lender {
				got = append(got, other.Box)
			}
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("lenders from %d on: %v, not %v", next, got, want)
	}
}

// TestLenders checks in which order neighbours are asked for a loan.
func TestLenders(t *testing.T) {
	t.Run("alone", func(t *testing.T) { expectLenders(t, viewOf(true, nil, "edge-0"), 3) })
	t.Run("a small fleet: by rank, the same for all calls", func(t *testing.T) {
		boxes := numbered(4)
		v := viewOf(true, nil, boxes[3], boxes[2], boxes[0], boxes[1])
		for next := range 4 {
			expectLenders(t, v, next, boxes[0], boxes[1], boxes[2])
		}
	})
	t.Run("a large fleet: relays, the own zone in turn, other zones", func(t *testing.T) {
		boxes := numbered(largeFleet)
		zones := map[granitehoist.Box]granitehoist.AvailabilityZone{}
		for _, box := range boxes[6:] {
			zones[box] = "attic"
		}
		relays := []granitehoist.Box{boxes[0], boxes[1], boxes[6], boxes[7]}
		v := viewOf(true, zones, startingWith(boxes, 2)...)
		own, far := boxes[3:6], boxes[8:]
		expectLenders(t, v, 0, slices.Concat(relays, own, far)...)
		fromThird := slices.Concat(relays, []granitehoist.Box{boxes[4], boxes[5], boxes[3]}, far)
		expectLenders(t, v, 3, fromThird...)
	})
}
