// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// zonedTable returns a table with one instance in each of two zones.
func zonedTable() *Table {
	t := New(Settings{Seed: 1, Zone: "north", Regions: map[granitehoist.AvailabilityZone]granitehoist.Region{"north": "coast", "south": "hills"}})
	t.Announce(Instance{ID: "i-n", Service: coldPool, Zone: "north", Version: 1}, testTime)
	t.Announce(Instance{ID: "i-s", Service: coldPool, Zone: "south", Version: 1}, testTime)
	return t
}

// expectPicked checks which instances Pick chooses for a query. Without expected
// instances, Pick must return NoUpstream.
func expectPicked(t *testing.T, table *Table, q Query, at time.Time, expected ...granitehoist.Upstream) {
	t.Helper()
	q.Service = coldPool
	got := map[granitehoist.Upstream]bool{}
	for range 50 {
		lease, err := table.Pick(q, at)
		if err == nil {
			got[lease.ID] = true
			continue
		}
		if granitehoist.CodeOf(err) != granitehoist.NoUpstream {
			t.Fatal(err)
		}
	}
	if len(got) != len(expected) {
		t.Fatalf("picked %v, want %v", got, expected)
	}
	for _, id := range expected {
		if !got[id] {
			t.Fatalf("picked %v, want %v", got, expected)
		}
	}
}

// TestEvacuation guards against attempts in an evacuated zone, whatever the state of its
// instances.
func TestEvacuation(t *testing.T) {
	t.Run("does not affect other zones", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		expectPicked(t, table, Query{}, testTime, "i-s")
	})
	t.Run("excludes prefix owners, also on retries", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		for hash := range uint64(20) {
			expectPicked(t, table, Query{PrefixHash: hash + 1, PrefixTokens: 900, PromptTokens: 1000}, testTime, "i-s")
		}
		expectPicked(t, table, Query{Tried: map[granitehoist.Upstream]bool{"i-s": true}}, testTime)
	})
	t.Run("excludes instances announced later", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Announce(Instance{ID: "i-new", Service: coldPool, Zone: "north", Version: 2}, testTime)
		expectPicked(t, table, Query{}, testTime, "i-s")
	})
	t.Run("excludes removed instances as a last resort", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Remove("i-n", testTime)
		expectPicked(t, table, Query{Tried: map[granitehoist.Upstream]bool{"i-s": true}}, testTime)
	})
	t.Run("of all zones leaves no instance", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Evacuate("south")
		expectPicked(t, table, Query{}, testTime)
	})
	t.Run("ends, and reports only actual changes", func(t *testing.T) {
		table := zonedTable()
		if !table.Evacuate("north") || table.Evacuate("north") {
			t.Fatal("wrong report of a change")
		}
		if !table.Restore("north", testTime) || table.Restore("north", testTime) {
			t.Fatal("wrong report of a change")
		}
		expectPicked(t, table, Query{}, testTime, "i-n", "i-s")
	})
	t.Run("is followed by a cold period", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Restore("north", testTime)
		cold := Query{ColdRequestRate: 0.0001, Routers: 100, Tried: map[granitehoist.Upstream]bool{"i-s": true}}
		expectPicked(t, table, cold, testTime.Add(coldAfterRestore-1))
		expectPicked(t, table, cold, testTime.Add(coldAfterRestore), "i-n")
	})
}

// TestAllowedRegions guards against attempts outside the regions allowed by the rules of
// a route and of a workspace.
func TestAllowedRegions(t *testing.T) {
	coast, hills := AllowedRegions{"coast"}, AllowedRegions{"hills"}
	for _, test := range []struct {
		name     string
		allowed  []AllowedRegions
		expected []granitehoist.Upstream
	}{
		{"no rules allow all regions", nil, []granitehoist.Upstream{"i-n", "i-s"}},
		{"empty rules allow all regions", []AllowedRegions{{}, {}}, []granitehoist.Upstream{"i-n", "i-s"}},
		{"one rule restricts", []AllowedRegions{coast}, []granitehoist.Upstream{"i-n"}},
		{"one rule with two regions allows both", []AllowedRegions{{"coast", "hills"}}, []granitehoist.Upstream{"i-n", "i-s"}},
		{"both rules apply", []AllowedRegions{{"coast", "hills"}, hills}, []granitehoist.Upstream{"i-s"}},
		{"disjoint rules allow no region", []AllowedRegions{coast, hills}, nil},
		{"a region without instances leaves none", []AllowedRegions{{"plains"}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectPicked(t, zonedTable(), Query{AllowedRegions: test.allowed}, testTime, test.expected...)
		})
	}
	t.Run("excludes zones without a known region", func(t *testing.T) {
		table := zonedTable()
		table.Announce(Instance{ID: "i-x", Service: coldPool, Zone: "nowhere", Version: 1}, testTime)
		expectPicked(t, table, Query{AllowedRegions: []AllowedRegions{coast}}, testTime, "i-n")
	})
}
