// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
)

// TestRejectionPart guards against routers whose parts exceed a rejection limit together.
func TestRejectionPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, routers := rapid.IntRange(1, 100).Draw(t, "limit"), rapid.IntRange(1, 100).Draw(t, "routers")
		least, most := rejectionPart(limit, routers, true, 0.999999), rejectionPart(limit, routers, true, 0)
		if most-least > 1 || least < 0 {
			t.Fatalf("parts from %d to %d", least, most)
		}
		// The chance of one more is the fraction of the share.
		const draws = 1000
		sum := 0
		for i := range draws {
			sum += rejectionPart(limit, routers, true, (float64(i)+0.5)/draws)
		}
		if together := float64(sum) / draws * float64(routers); together > rejectionShare*float64(limit)+0.1*float64(routers) {
			t.Fatalf("%g rejections on average, the limit is %d", together, limit)
		}
		if calm := rejectionPart(limit, routers, false, 0.999999); calm*routers > limit {
			t.Fatalf("%d rejections of each of %d routers, the limit is %d", calm, routers, limit)
		}
	})
}

// TestRejectionDraw guards against routers that draw the same part in the same round, or
// one router that never draws any.
func TestRejectionDraw(t *testing.T) {
	const routers, rounds = 100, 200
	for round := range uint64(rounds) {
		below := 0
		for router := range uint64(routers) {
			if drawOf(router*7919, round) < 0.3 {
				below++
			}
		}
		if below < 10 || below > 55 {
			t.Errorf("round %d: %d of %d draws are below 0.3", round, below, routers)
		}
	}
}

// rejectingTable returns a table with one instance of the service pool that states a
// rejection limit of 2.
func rejectingTable(t *testing.T, settings Settings) *Table {
	t.Helper()
	table := New(settings)
	table.Announce(Instance{ID: "i-1", Service: "pool", Capacity: 1, Version: 1}, testTime)
	lease := mustPick(t, table, testTime)
	lease.Observe(Feedback{Accepted: true, RejectionLimit: 2, Rate: RateFeedback{FromInstance: true}}, testTime)
	lease.Done(Succeeded, testTime)
	return table
}

// poolQuery is a query of a router that is one of two.
var poolQuery = Query{Service: "pool", Routers: 2}

func mustPick(t *testing.T, table *Table, now time.Time) *Lease {
	t.Helper()
	lease, err := table.Pick(poolQuery, now)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// expectDeferred expects that the only instance is deferred.
func expectDeferred(t *testing.T, table *Table, now time.Time) {
	t.Helper()
	if lease, err := table.Pick(poolQuery, now); err == nil {
		lease.Done(Inconclusive, now)
		t.Fatal("an instance was chosen")
	} else if _, deferred := DeferralOf(err); !deferred {
		t.Fatalf("error %v instead of a deferral", err)
	}
}

// TestRejectionLimit guards against requests that an instance might have to reject beyond
// this router's part of its limit, and against a part that is not given back.
func TestRejectionLimit(t *testing.T) {
	at := func(d time.Duration) time.Time { return testTime.Add(time.Minute + d) }
	t.Run("holds while a request is unconfirmed", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		mustPick(t, table, at(0))
		expectDeferred(t, table, at(time.Second))
	})
	t.Run("holds whatever the capacity", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		table.Announce(Instance{ID: "i-1", Service: "pool", Capacity: 64, Version: 2}, at(0))
		mustPick(t, table, at(0))
		expectDeferred(t, table, at(0))
	})
	t.Run("holds after a rejection", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		lease := mustPick(t, table, at(0))
		lease.Observe(Feedback{Rejected: true, RejectionLimit: 2}, at(5*time.Millisecond))
		lease.Done(Refused, at(5*time.Millisecond))
		expectDeferred(t, table, at(time.Second))
		mustPick(t, table, at(5*time.Millisecond+rejectionMemory))
	})
	t.Run("holds after a request that ended without a response", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		mustPick(t, table, at(0)).Done(Inconclusive, at(0))
		expectDeferred(t, table, at(time.Second))
	})
	t.Run("does not bind accepted requests", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		for range 20 {
			mustPick(t, table, at(0)).Observe(Feedback{Accepted: true, RejectionLimit: 2}, at(0))
		}
	})
	t.Run("does not bind after two later signs of life", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		stream := mustPick(t, table, at(0))
		stream.Observe(Feedback{Accepted: true, RejectionLimit: 2}, at(0))
		mustPick(t, table, at(0))
		stream.Events(1, at(40*time.Millisecond))
		stream.Events(1, at(60*time.Millisecond))
		expectDeferred(t, table, at(60*time.Millisecond))
		stream.Events(1, at(120*time.Millisecond))
		mustPick(t, table, at(120*time.Millisecond))
	})
	t.Run("ends with a response that states none", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		mustPick(t, table, at(0)).Observe(Feedback{Accepted: true, Rate: RateFeedback{FromInstance: true}}, at(0))
		for range 5 {
			mustPick(t, table, at(0))
		}
	})
	t.Run("ends for the whole service", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		table.Announce(Instance{ID: "i-2", Service: "pool", Capacity: 1, Version: 2}, at(0))
		for range 2 {
			lease := mustPick(t, table, at(0))
			lease.Observe(Feedback{Rejected: true, RejectionLimit: 2}, at(0))
			lease.Done(Refused, at(0))
		}
		later := at(rejectionMemory)
		ended := mustPick(t, table, later)
		ended.Observe(Feedback{Accepted: true, Rate: RateFeedback{FromInstance: true}}, later)
		for range 5 {
			if _, err := table.Pick(Query{Service: "pool", Routers: 2, Tried: map[granitehoist.Upstream]bool{ended.ID: true}}, later); err != nil {
				t.Fatal(err)
			}
		}
	})
	t.Run("holds for an instance of the service that has not responded yet", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		mustPick(t, table, at(0))
		table.Announce(Instance{ID: "i-2", Service: "pool", Capacity: 1, Version: 2}, at(0))
		if lease := mustPick(t, table, at(0)); lease.ID != "i-2" {
			t.Errorf("%s was chosen", lease.ID)
		}
		expectDeferred(t, table, at(0))
	})
	t.Run("does not hold for other services", func(t *testing.T) {
		table := rejectingTable(t, Settings{})
		table.Announce(Instance{ID: "i-2", Service: "other", Capacity: 1, Version: 2}, at(0))
		for range 5 {
			if _, err := table.Pick(Query{Service: "other", Routers: 2}, at(0)); err != nil {
				t.Fatal(err)
			}
		}
	})
	t.Run("allows one at a time that fits into a router's part of the capacity", func(t *testing.T) {
		const routers, capacity = 5, 10
		table := rejectingTable(t, Settings{})
		table.Announce(Instance{ID: "i-1", Service: "pool", Capacity: capacity, Version: 2}, at(0))
		query := Query{Service: "pool", Routers: routers}
		// In some rounds the part is one without that.
		accepted, rounds := 0, 0
		for ; rounds < 20; rounds++ {
			now := at(time.Duration(rounds) * rejectionWindow)
			lease, err := table.Pick(query, now)
			if err != nil {
				continue
			}
			accepted++
			if again, err := table.Pick(query, now); err == nil {
				again.Done(Inconclusive, now)
				t.Fatal("two unconfirmed requests at a time")
			}
			lease.Observe(Feedback{Accepted: true, RejectionLimit: 2}, now)
		}
		if accepted < capacity/routers || accepted == rounds {
			t.Errorf("%d requests in %d rounds", accepted, rounds)
		}
	})
}

// TestRejectionsReachOtherRouters guards against a router that does not know the limits or
// the rejections that others have seen.
func TestRejectionsReachOtherRouters(t *testing.T) {
	var events []RejectionEvent
	first := rejectingTable(t, Settings{OnRejections: func(e RejectionEvent) { events = append(events, e) }})
	other := New(Settings{})
	for _, id := range []granitehoist.Upstream{"i-1", "i-2"} {
		other.Announce(Instance{ID: id, Service: "pool", Capacity: 10, Version: 1}, testTime)
	}
	updates, version := first.UpdatesSince(0, testTime)
	if len(events) != 1 || !events[0].Changed || len(updates.Rejections) != 1 || updates.Rejections[0].Limit != 2 || updates.Rejections[0].RejectingMS != 0 {
		t.Fatalf("events %+v, updates %+v", events, updates)
	}
	other.MergeUpdates(updates, testTime)
	if got := other.instances["i-1"].rejections.limit; got != 2 {
		t.Errorf("limit %d at the other router", got)
	}
	lease := mustPick(t, first, testTime)
	lease.Observe(Feedback{Rejected: true, RejectionLimit: 2}, testTime)
	lease.Done(Refused, testTime)
	updates, _ = first.UpdatesSince(version, testTime.Add(time.Second))
	if len(events) != 2 || !events[1].Rejecting || len(updates.Rejections) != 1 || updates.Rejections[0].RejectingMS != 4000 {
		t.Fatalf("events %+v, updates %+v", events, updates)
	}
	other.MergeUpdates(updates, testTime.Add(time.Second))
	if !other.instances["i-1"].rejections.isRejecting(testTime.Add(4 * time.Second)) {
		t.Error("the other router does not know that the instance rejects requests")
	}
	if other.instances["i-1"].rejections.isRejecting(testTime.Add(6 * time.Second)) {
		t.Error("the instance rejects requests for longer than rejectionMemory")
	}
	if snapshot := other.Snapshot(testTime); len(snapshot.Rejections) != 0 {
		t.Errorf("a limit that was only told is passed on: %+v", snapshot)
	}
}
