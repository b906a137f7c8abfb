// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// TestBornAgain checks what is remembered of an instance that starts again under its
// ID, and which announcements of its lives count.
func TestBornAgain(t *testing.T) {
	announce := func(table *Table, version granitehoist.Version, born int64, address string) {
		table.Announce(Instance{ID: "i-0", Service: coldPool, Address: address, Version: version, Born: born}, noon)
	}
	// brokenTwice returns a table whose instance, born at 100, has broken two attempts
	// and so is ejected.
	brokenTwice := func(t *testing.T) *Table {
		t.Helper()
		table := New(Settings{})
		announce(table, 1, 100, "a:1")
		for range 2 {
			lease, err := table.Pick(Query{Service: coldPool}, noon)
			if err != nil {
				t.Fatal(err)
			}
			lease.Done(Broken, noon)
		}
		return table
	}
	expect := func(t *testing.T, table *Table, address string, ejected bool) {
		t.Helper()
		status := table.Statuses(noon)[0]
		if status.Address != address || status.Ejected != ejected {
			t.Fatalf("%+v", status)
		}
	}
	t.Run("a new life forgets the failures of the one before", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 200, "a:2")
		expect(t, table, "a:2", false)
	})
	t.Run("a repetition of the same life does not", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 100, "a:1")
		expect(t, table, "a:1", true)
	})
	t.Run("one that does not say its life goes on with it", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 0, "a:2")
		expect(t, table, "a:2", true)
	})
	t.Run("one of an earlier life changes nothing, though its version is newer", func(t *testing.T) {
		table := brokenTwice(t)
		announce(table, 2, 200, "a:2")
		announce(table, 3, 100, "a:1")
		expect(t, table, "a:2", false)
	})
	t.Run("an attempt of the life before says nothing of the new one", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, 100, "a:1")
		var leases []*Lease
		for range 2 {
			lease, err := table.Pick(Query{Service: coldPool, PromptTokens: 5000}, noon)
			if err != nil {
				t.Fatal(err)
			}
			leases = append(leases, lease)
		}
		announce(table, 2, 200, "a:2")
		for _, lease := range leases {
			lease.Done(Broken, noon.Add(time.Millisecond))
		}
		expect(t, table, "a:2", false)
		if s := table.instances["i-0"]; s.inFlight != 0 || s.unreadTokens != 0 {
			t.Fatalf("%+v", s)
		}
	})
}
