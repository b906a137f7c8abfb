// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// TestRestartedInstance guards against observations of one incarnation applied to
// another, and against announcements of earlier incarnations.
func TestRestartedInstance(t *testing.T) {
	announce := func(table *Table, version granitehoist.Version, startedAt int64, address string) {
		table.Announce(Instance{ID: "i-0", Service: coldPool, Address: address, Version: version, StartedAtMS: startedAt}, testTime)
	}
	// brokenTwice returns a table whose instance, started at 100, is ejected after two
	// broken attempts.
	brokenTwice := func(t *testing.T) *Table {
		t.Helper()
		table := New(Settings{})
		announce(table, 1, 100, "a:1")
		for range 2 {
			lease, err := table.Pick(Query{Service: coldPool}, testTime)
			if err != nil {
				t.Fatal(err)
			}
			lease.Done(Broken, testTime)
		}
		return table
	}
	expect := func(t *testing.T, table *Table, address string, ejected bool) {
		t.Helper()
		status := table.Statuses(testTime)[0]
		if status.Address != address || status.Ejected != ejected {
			t.Fatalf("%+v", status)
		}
	}
	t.Run("a new incarnation resets failures", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 200, "a:2")
		expect(t, table, "a:2", false)
	})
	t.Run("a repeated announcement keeps failures", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 100, "a:1")
		expect(t, table, "a:1", true)
	})
	t.Run("an announcement without a start time keeps failures", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 0, "a:2")
		expect(t, table, "a:2", true)
	})
	t.Run("an earlier incarnation is ignored despite a newer version", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 200, "a:2")
		announce(table, 3, 100, "a:1")
		expect(t, table, "a:2", false)
	})
	t.Run("attempts of the previous incarnation do not affect the new one", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, 100, "a:1")
		var leases []*Lease
		for range 2 {
			lease, err := table.Pick(Query{Service: coldPool, PromptTokens: 5000}, testTime)
			if err != nil {
				t.Fatal(err)
			}
			leases = append(leases, lease)
		}
		announce(table, 2, 200, "a:2")
		for _, lease := range leases {
			lease.Done(Broken, testTime.Add(time.Millisecond))
		}
		expect(t, table, "a:2", false)
		if s := table.instances["i-0"]; s.inFlight != 0 || s.queuedTokens != 0 {
			t.Fatalf("%+v", s)
		}
	})
}
