// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// zonedTable returns a table of one instance in each of two zones.
func zonedTable() *Table {
	t := New(Settings{Seed: 1, Zone: "north", Regions: map[granitehoist.AvailabilityZone]granitehoist.Region{"north": "coast", "south": "hills"}})
	t.Announce(Instance{ID: "i-n", Service: coldPool, Zone: "north", Version: 1}, noon)
	t.Announce(Instance{ID: "i-s", Service: coldPool, Zone: "south", Version: 1}, noon)
	return t
}

// expectPicked checks which instances a query gets; none means that it is refused.
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
		t.Fatalf("picked %v, not %v", got, expected)
	}
	for _, id := range expected {
		if !got[id] {
			t.Fatalf("picked %v, not %v", got, expected)
		}
	}
}

// TestEvacuation checks that nothing is sent to a zone that is evacuated, whatever
// else is known of its instances.
func TestEvacuation(t *testing.T) {
	t.Run("leaves the other zones", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		expectPicked(t, table, Query{}, noon, "i-s")
	})
	t.Run("binds also the owner of a prefix and its retries", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		for hash := range uint64(20) {
			expectPicked(t, table, Query{PrefixHash: hash + 1, PrefixTokens: 900, PromptTokens: 1000}, noon, "i-s")
		}
		expectPicked(t, table, Query{Tried: map[granitehoist.Upstream]bool{"i-s": true}}, noon)
	})
	t.Run("binds instances that announce themselves later", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Announce(Instance{ID: "i-new", Service: coldPool, Zone: "north", Version: 2}, noon)
		expectPicked(t, table, Query{}, noon, "i-s")
	})
	t.Run("binds the last resorts: those ejected and those removed", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Remove("i-n", noon)
		expectPicked(t, table, Query{Tried: map[granitehoist.Upstream]bool{"i-s": true}}, noon)
	})
	t.Run("of all zones refuses", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Evacuate("south")
		expectPicked(t, table, Query{}, noon)
	})
	t.Run("ends, and counts once each way", func(t *testing.T) {
		table := zonedTable()
		if !table.Evacuate("north") || table.Evacuate("north") {
			t.Fatal("a repetition counts")
		}
		if !table.Restore("north", noon) || table.Restore("north", noon) {
			t.Fatal("a repetition counts")
		}
		expectPicked(t, table, Query{}, noon, "i-n", "i-s")
	})
	t.Run("is followed by a time in which the zone counts as cold", func(t *testing.T) {
		table := zonedTable()
		table.Evacuate("north")
		table.Restore("north", noon)
		cold := Query{ColdPerSecond: 0.0001, Routers: 100, Tried: map[granitehoist.Upstream]bool{"i-s": true}}
		expectPicked(t, table, cold, noon.Add(restoredCold-1))
		expectPicked(t, table, cold, noon.Add(restoredCold), "i-n")
	})
}

// TestHomes checks each combination of the homes of a route and of a workspace.
func TestHomes(t *testing.T) {
	coast, hills := Homes{"coast"}, Homes{"hills"}
	for _, test := range []struct {
		name     string
		homes    []Homes
		expected []granitehoist.Upstream
	}{
		{"none set no bound", nil, []granitehoist.Upstream{"i-n", "i-s"}},
		{"empty ones set no bound", []Homes{{}, {}}, []granitehoist.Upstream{"i-n", "i-s"}},
		{"one binds", []Homes{coast}, []granitehoist.Upstream{"i-n"}},
		{"one of two regions allows both", []Homes{{"coast", "hills"}}, []granitehoist.Upstream{"i-n", "i-s"}},
		{"both bind", []Homes{{"coast", "hills"}, hills}, []granitehoist.Upstream{"i-s"}},
		{"two that exclude each other refuse", []Homes{coast, hills}, nil},
		{"an unknown region refuses", []Homes{{"plains"}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectPicked(t, zonedTable(), Query{Homes: test.homes}, noon, test.expected...)
		})
	}
	t.Run("keep requests from zones whose region is not known", func(t *testing.T) {
		table := zonedTable()
		table.Announce(Instance{ID: "i-x", Service: coldPool, Zone: "nowhere", Version: 1}, noon)
		expectPicked(t, table, Query{Homes: []Homes{coast}}, noon, "i-n")
	})
}
