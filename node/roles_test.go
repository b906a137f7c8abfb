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

// newTestView returns the view that the first of the given boxes has of the others, all
// in one availability zone except those in zones.
func newTestView(complete bool, zones map[granitehoist.Box]granitehoist.AvailabilityZone, boxes ...granitehoist.Box) fleetView {
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

// boxesByRank returns the names of count boxes, ordered by their hash.
func boxesByRank(count int) []granitehoist.Box {
	var boxes []granitehoist.Box
	for i := range count {
		boxes = append(boxes, granitehoist.Box(fmt.Sprint("edge-", i)))
	}
	slices.SortFunc(boxes, func(a, b granitehoist.Box) int { return compareBoxHash(peerEntry{Box: a}, peerEntry{Box: b}) })
	return boxes
}

// moveToFront returns boxes with the one at index first, so that newTestView gives its
// view.
func moveToFront(boxes []granitehoist.Box, index int) []granitehoist.Box {
	return append([]granitehoist.Box{boxes[index]}, slices.Delete(slices.Clone(boxes), index, index+1)...)
}

// expectedRoles holds the roles of a node in the fleet.
type expectedRoles struct {
	relay bool
	asked int
	// tokens is its role for the tokens of testShard.
	tokens escrow.Role
}

// testShard is an arbitrary shard.
const testShard = escrow.Shard(7)

func expectRoles(t *testing.T, v fleetView, want expectedRoles) {
	t.Helper()
	got := expectedRoles{relay: v.isRelay(), asked: len(v.relaysToAsk()), tokens: v.role(v.ranked(testShard))}
	if got != want {
		t.Fatalf("%s of %d: %+v, not %+v", v.self.Box, v.size(), got, want)
	}
}

// TestRoles guards against wrong relays, relays to ask and token holders. Boxes are
// numbered by rank.
func TestRoles(t *testing.T) {
	small, large := boxesByRank(largeFleet-1), boxesByRank(largeFleet)
	holder := slices.Index(large, newTestView(true, nil, large...).ranked(testShard)[0].Box)
	other := (holder + 1) % 2
	cases := []struct {
		name     string
		complete bool
		boxes    []granitehoist.Box
		want     expectedRoles
	}{
		{"alone", true, boxesByRank(1), expectedRoles{relay: true, tokens: escrow.RoleDirect}},
		{"small fleet, lowest rank", true, moveToFront(small, 0), expectedRoles{relay: true, tokens: escrow.RoleDirect}},
		{"small fleet, highest rank", true, moveToFront(small, 14), expectedRoles{relay: true, tokens: escrow.RoleDirect}},
		{"large fleet, the holder", true, moveToFront(large, holder), expectedRoles{relay: holder < 2, asked: 2 * min(1, holder/2), tokens: escrow.RoleHolder}},
		{"large fleet, a relay", true, moveToFront(large, other), expectedRoles{relay: true, tokens: escrow.RoleBorrower}},
		{"small fleet, incomplete view", false, moveToFront(small, 0), expectedRoles{tokens: escrow.RoleBorrower}},
		{"large fleet, incomplete view", false, moveToFront(large, holder), expectedRoles{tokens: escrow.RoleBorrower}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRoles(t, newTestView(c.complete, nil, c.boxes...), c.want) })
	}
}

// assignZones assigns the boxes to count availability zones in turn.
func assignZones(boxes []granitehoist.Box, count int) map[granitehoist.Box]granitehoist.AvailabilityZone {
	zones := map[granitehoist.Box]granitehoist.AvailabilityZone{}
	for i, box := range boxes {
		zones[box] = granitehoist.AvailabilityZone(fmt.Sprint("hall-", i%count))
	}
	return zones
}

func expectRanked(t *testing.T, v fleetView, shard escrow.Shard, want []peerEntry) {
	t.Helper()
	if got := v.ranked(shard); !slices.Equal(got, want) {
		t.Fatalf("%s ranks %v for %d, not %v", v.self.Box, got, shard, want)
	}
}

// TestRanked guards against nodes that disagree on the holder of a shard, and against
// uneven or unstable assignments.
func TestRanked(t *testing.T) {
	boxes := boxesByRank(60)
	zones := assignZones(boxes, 3)
	v := newTestView(true, zones, boxes...)
	t.Run("all nodes agree", func(t *testing.T) {
		for i := range boxes {
			expectRanked(t, newTestView(true, zones, moveToFront(boxes, i)...), testShard, v.ranked(testShard))
		}
	})
	t.Run("no node is ranked twice", func(t *testing.T) {
		for shard := range escrow.Shard(256) {
			ranked := boxesOf(v.ranked(shard))
			if slices.Sort(ranked); len(slices.Compact(ranked)) != rankedPerShard {
				t.Fatalf("%d: %v", shard, ranked)
			}
		}
	})
	t.Run("shards are distributed evenly", func(t *testing.T) {
		held := map[granitehoist.Box]int{}
		for shard := range escrow.Shard(6000) {
			held[v.ranked(shard)[0].Box]++
		}
		// The mean is 100 shards per box, with a standard deviation of 10.
		for _, box := range boxes {
			if held[box] < 60 || held[box] > 140 {
				t.Fatalf("%s holds %d", box, held[box])
			}
		}
	})
	t.Run("a removed box moves only its own shards", func(t *testing.T) {
		removed := v.ranked(testShard)[0].Box
		left := newTestView(true, zones, slices.DeleteFunc(slices.Clone(boxes), func(b granitehoist.Box) bool { return b == removed })...)
		for shard := range escrow.Shard(256) {
			if before := v.ranked(shard); !slices.Contains(boxesOf(before), removed) {
				expectRanked(t, left, shard, before)
			}
		}
	})
	t.Run("boxes with slow links are excluded", func(t *testing.T) {
		v := newTestView(true, zones, boxes...)
		for i := range v.others {
			v.others[i].LinkMbps = 10
		}
		v.self.LinkMbps, v.others[0].LinkMbps = 200, 100
		for shard := range escrow.Shard(50) {
			if ranked := boxesOf(v.ranked(shard)); len(ranked) != 2 {
				t.Fatalf("%d: %v", shard, ranked)
			}
		}
	})
	t.Run("a single node holds all shards", func(t *testing.T) {
		alone := newTestView(true, nil, "edge-0")
		expectRanked(t, alone, testShard, []peerEntry{alone.self})
	})
}

func boxesOf(entries []peerEntry) []granitehoist.Box {
	var boxes []granitehoist.Box
	for _, entry := range entries {
		boxes = append(boxes, entry.Box)
	}
	return boxes
}

func expectLenders(t *testing.T, v fleetView, want []escrow.Lender) {
	t.Helper()
	if got := v.lenders(v.ranked(testShard)); !slices.Equal(got, want) {
		t.Fatalf("%s asks %v, not %v", v.self.Box, got, want)
	}
}

// TestLenders guards against a wrong order of the neighbours that are asked for a loan.
func TestLenders(t *testing.T) {
	t.Run("alone", func(t *testing.T) { expectLenders(t, newTestView(true, nil, "edge-0"), nil) })
	t.Run("a small fleet: by rank", func(t *testing.T) {
		boxes := boxesByRank(4)
		v := newTestView(true, nil, boxes[3], boxes[2], boxes[0], boxes[1])
		expectLenders(t, v, lendersOf([]peerEntry{v.others[1], v.others[2], v.others[0]}))
	})
	t.Run("a large fleet: the holder, then its replacements, without the node itself", func(t *testing.T) {
		boxes := boxesByRank(60)
		ranked := newTestView(true, nil, boxes...).ranked(testShard)
		all := lendersOf(ranked)
		all[1].IsStandIn, all[2].IsStandIn = true, true
		for i, box := range boxes {
			want := slices.DeleteFunc(slices.Clone(all), func(l escrow.Lender) bool { return l.Incarnation == granitehoist.Incarnation(box)+"-1" })
			expectLenders(t, newTestView(true, nil, moveToFront(boxes, i)...), want)
		}
	})
}

// BenchmarkRanked measures the ranking of a shard, which is computed once per shard after
// each change of the node list.
func BenchmarkRanked(b *testing.B) {
	for _, routers := range []int{22, 87, 295, 1100} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			v := newTestView(true, nil, boxesByRank(routers)...)
			for i := range b.N {
				v.ranked(escrow.Shard(i % 256))
			}
		})
	}
}
