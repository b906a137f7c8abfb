// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"slices"
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
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
	relay bool
	asked int
	// tokens is its role for the tokens of the workspace kiosk.
	tokens escrow.Role
}

const kiosk = granitehoist.Workspace("kiosk")

func expectRoles(t *testing.T, v fleetView, want roles) {
	t.Helper()
	got := roles{relay: v.isRelay(), asked: len(v.relaysToAsk()), tokens: v.role(v.ranked(kiosk))}
	if got != want {
		t.Fatalf("%s of %d: %+v, not %+v", v.self.Box, v.size(), got, want)
	}
}

// TestRoles checks which nodes are relays, how many relays are asked and which nodes
// hold a workspace's tokens. Boxes are numbered by rank.
func TestRoles(t *testing.T) {
	small, large := numbered(largeFleet-1), numbered(largeFleet)
	holder := slices.Index(large, viewOf(true, nil, large...).ranked(kiosk)[0].Box)
	other := (holder + 1) % 2
	cases := []struct {
		name     string
		complete bool
		boxes    []granitehoist.Box
		want     roles
	}{
		{"alone", true, numbered(1), roles{relay: true, tokens: escrow.Shares}},
		{"small fleet, lowest rank", true, startingWith(small, 0), roles{relay: true, tokens: escrow.Shares}},
		{"small fleet, highest rank", true, startingWith(small, 14), roles{relay: true, tokens: escrow.Shares}},
		{"large fleet, a holder", true, startingWith(large, holder), roles{relay: holder < 2, asked: 2 * min(1, holder/2), tokens: escrow.Holds}},
		{"large fleet, a relay", true, startingWith(large, other), roles{relay: true, tokens: escrow.Asks}},
		{"small fleet, view not complete", false, startingWith(small, 0), roles{tokens: escrow.Asks}},
		{"large fleet, view not complete", false, startingWith(large, holder), roles{tokens: escrow.Asks}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRoles(t, viewOf(c.complete, nil, c.boxes...), c.want) })
	}
}

// halls returns the boxes' availability zones, in turn of count.
func halls(boxes []granitehoist.Box, count int) map[granitehoist.Box]granitehoist.AvailabilityZone {
	zones := map[granitehoist.Box]granitehoist.AvailabilityZone{}
	for i, box := range boxes {
		zones[box] = granitehoist.AvailabilityZone(fmt.Sprint("hall-", i%count))
	}
	return zones
}

// workspaces returns the names of count workspaces.
func workspaces(count int) []granitehoist.Workspace {
	var all []granitehoist.Workspace
	for i := range count {
		all = append(all, granitehoist.Workspace(fmt.Sprint("workspace-", i)))
	}
	return all
}

func expectRanked(t *testing.T, v fleetView, w granitehoist.Workspace, want []peerEntry) {
	t.Helper()
	if got := v.ranked(w); !slices.Equal(got, want) {
		t.Fatalf("%s ranks %v for %s, not %v", v.self.Box, got, w, want)
	}
}

// TestRanked checks which nodes hold a workspace's tokens and stand in for each other.
func TestRanked(t *testing.T) {
	boxes := numbered(60)
	zones := halls(boxes, 3)
	v := viewOf(true, zones, boxes...)
	t.Run("all nodes agree", func(t *testing.T) {
		for i := range boxes {
			expectRanked(t, viewOf(true, zones, startingWith(boxes, i)...), kiosk, v.ranked(kiosk))
		}
	})
	t.Run("the holders are of two zones, and nobody stands twice", func(t *testing.T) {
		for _, w := range workspaces(200) {
			ranked := v.ranked(w)
			if len(ranked) != rankedPerWorkspace || ranked[0].Zone == ranked[1].Zone {
				t.Fatalf("%s: %v", w, ranked)
			}
			if different := slices.Compact(slices.Sorted(slices.Values(boxesOf(ranked)))); len(different) != len(ranked) {
				t.Fatalf("%s: %v", w, ranked)
			}
		}
	})
	t.Run("workspaces are spread over the nodes", func(t *testing.T) {
		held := map[granitehoist.Box]int{}
		for _, w := range workspaces(3000) {
			for _, holder := range v.ranked(w)[:escrow.HoldersPerWorkspace] {
				held[holder.Box]++
			}
		}
		// 100 for each in the mean; the standard deviation of a fair draw is 10.
		for _, box := range boxes {
			if held[box] < 60 || held[box] > 140 {
				t.Fatalf("%s holds %d", box, held[box])
			}
		}
	})
	t.Run("a box that leaves moves only what it held", func(t *testing.T) {
		gone := v.ranked(kiosk)[0].Box
		left := viewOf(true, zones, slices.DeleteFunc(slices.Clone(boxes), func(b granitehoist.Box) bool { return b == gone })...)
		for _, w := range workspaces(200) {
			if before := v.ranked(w); !slices.Contains(boxesOf(before), gone) {
				expectRanked(t, left, w, before)
			}
		}
	})
	t.Run("boxes with slow links hold nothing", func(t *testing.T) {
		v := viewOf(true, zones, boxes...)
		for i := range v.others {
			v.others[i].LinkMbps = 10
		}
		v.self.LinkMbps, v.others[0].LinkMbps = 200, 100
		for _, w := range workspaces(50) {
			if ranked := boxesOf(v.ranked(w)); len(ranked) != 2 {
				t.Fatalf("%s: %v", w, ranked)
			}
		}
	})
	t.Run("a node alone holds all", func(t *testing.T) {
		alone := viewOf(true, nil, "edge-0")
		expectRanked(t, alone, kiosk, []peerEntry{alone.self})
	})
}

func boxesOf(entries []peerEntry) []granitehoist.Box {
	var boxes []granitehoist.Box
	for _, entry := range entries {
		boxes = append(boxes, entry.Box)
	}
	return boxes
}

func expectLenders(t *testing.T, v fleetView, want []peerEntry, standIns int) {
	t.Helper()
	var expected []escrow.Lender
	for i, entry := range want {
		expected = append(expected, escrow.Lender{Peer: entry.peer(), StandsIn: i >= len(want)-standIns})
	}
	if got := v.lenders(v.ranked(kiosk)); !slices.Equal(got, expected) {
		t.Fatalf("%s asks %v, not %v", v.self.Box, got, expected)
	}
}

// TestLenders checks in which order neighbours are asked for a loan.
func TestLenders(t *testing.T) {
	t.Run("alone", func(t *testing.T) { expectLenders(t, viewOf(true, nil, "edge-0"), nil, 0) })
	t.Run("a small fleet: by rank", func(t *testing.T) {
		boxes := numbered(4)
		v := viewOf(true, nil, boxes[3], boxes[2], boxes[0], boxes[1])
		expectLenders(t, v, []peerEntry{v.others[1], v.others[2], v.others[0]}, 0)
	})
	boxes := numbered(60)
	zones := halls(boxes, 3)
	ranked := viewOf(true, zones, boxes...).ranked(kiosk)
	t.Run("a large fleet: the holder of the own zone, the other, those that stand in", func(t *testing.T) {
		for i, box := range boxes {
			v := viewOf(true, zones, startingWith(boxes, i)...)
			want := slices.Clone(ranked)
			if zones[box] == ranked[1].Zone {
				want[0], want[1] = want[1], want[0]
			}
			if slices.Contains(boxesOf(ranked), box) || (zones[box] != ranked[0].Zone && zones[box] != ranked[1].Zone) {
				continue
			}
			expectLenders(t, v, want, 2)
		}
	})
	t.Run("a large fleet: half of the other nodes begin with each holder", func(t *testing.T) {
		begins := map[granitehoist.Incarnation]int{}
		for i, box := range boxes {
			if zones[box] != ranked[0].Zone && zones[box] != ranked[1].Zone {
				v := viewOf(true, zones, startingWith(boxes, i)...)
				begins[v.lenders(v.ranked(kiosk))[0].Incarnation]++
			}
		}
		if len(begins) != 2 || begins[ranked[0].Incarnation] < 5 || begins[ranked[1].Incarnation] < 5 {
			t.Fatalf("nodes begin with %v", begins)
		}
	})
	t.Run("a holder asks the other one first", func(t *testing.T) {
		v := viewOf(true, zones, startingWith(boxes, slices.Index(boxes, ranked[0].Box))...)
		expectLenders(t, v, ranked[1:], 2)
	})
}
