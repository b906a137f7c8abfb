// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// reportLeaving lets a response of an instance say that it is leaving.
func (p *testPool) reportLeaving(id granitehoist.Upstream) {
	p.t.Helper()
	lease := p.leaseOf(id)
	lease.Observe(Feedback{Leaving: true}, p.now)
	lease.Done(Succeeded, p.now)
}

// leaseOf picks until it gets a lease of the given instance.
func (p *testPool) leaseOf(id granitehoist.Upstream) *Lease {
	p.t.Helper()
	for range 1000 {
		lease, err := p.Pick(Query{Service: "pool"}, p.now)
		if err != nil {
			p.t.Fatal(err)
		}
		if lease.ID == id {
			return lease
		}
		lease.Done(Succeeded, p.now)
	}
	p.t.Fatalf("no request for %s", id)
	return nil
}

// reannounce announces i-0 as ready, with the given start time.
func (p *testPool) reannounce(version granitehoist.Version, startedAt int64) {
	p.Announce(Instance{ID: "i-0", Service: "pool", Capacity: 8, Version: version, StartedAtMS: startedAt}, p.now)
}

// TestLeaving guards against requests to an instance after a response said that it is
// leaving.
func TestLeaving(t *testing.T) {
	leaving := func(t *testing.T, instances int) *testPool {
		p := newTestPool(t, instances)
		p.reportLeaving("i-0")
		return p
	}
	expectNone := func(p *testPool) {
		p.t.Helper()
		p.expect("i-0", p.picks(50, Query{})["i-0"], 0)
	}
	t.Run("excludes prefix owners and pinned instances", func(t *testing.T) {
		p := leaving(t, 2)
		expectNone(p)
		for hash := range uint64(20) {
			p.expect("i-0", p.picks(1, Query{PrefixHash: hash + 1, PrefixTokens: 5000, PromptTokens: 6000})["i-0"], 0)
			p.expect("i-0 by pin", p.picks(1, Query{Pin: hash + 1})["i-0"], 0)
		}
	})
	t.Run("excludes the only instance", func(t *testing.T) {
		p := leaving(t, 1)
		p.expect("none", p.picks(1, Query{})[""], 1)
	})
	t.Run("ignores an unused permit", func(t *testing.T) {
		p := newTestPool(t, 2)
		lease := p.leaseOf("i-0")
		p.limit("i-0", 2)
		p.permit("i-0", 1, 0, time.Second)
		lease.Observe(Feedback{Leaving: true}, p.now)
		expectNone(p)
	})
	t.Run("persists after a later response without the signal", func(t *testing.T) {
		p := newTestPool(t, 1)
		first, second := p.leaseOf("i-0"), p.leaseOf("i-0")
		first.Observe(Feedback{Leaving: true}, p.now)
		second.Observe(Feedback{Rate: RateFeedback{FromInstance: true}}, p.now)
		second.Done(Succeeded, p.now)
		p.expect("none", p.picks(1, Query{})[""], 1)
	})
	t.Run("persists after a newer announcement", func(t *testing.T) {
		p := leaving(t, 2)
		p.reannounce(7, 0)
		p.reannounce(8, 40)
		expectNone(p)
	})
	t.Run("persists after removal and a stale announcement", func(t *testing.T) {
		p := leaving(t, 2)
		p.Remove("i-0", p.now)
		p.now = p.now.Add(time.Minute)
		p.Remove("i-1", p.now)
		p.expect("known instances", len(p.Statuses(p.now)), 1)
		p.reannounce(9, 0)
		expectNone(p)
	})
	t.Run("ignores a response of the previous incarnation", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.reannounce(2, 40)
		lease := p.leaseOf("i-0")
		p.reannounce(3, 50)
		lease.Observe(Feedback{Leaving: true}, p.now)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
		if p.IsLeaving("i-0") {
			t.Error("the new incarnation is marked as leaving")
		}
	})
	t.Run("ends with the incarnation", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.reannounce(2, 40)
		p.reportLeaving("i-0")
		p.reannounce(3, 50)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
	})
	t.Run("is reported for this instance only", func(t *testing.T) {
		if p := leaving(t, 2); !p.IsLeaving("i-0") || p.IsLeaving("i-1") {
			t.Error("want only i-0 to be leaving")
		}
	})
	t.Run("calls the callback once for each incarnation", func(t *testing.T) {
		var notes []LeavingEvent
		p := &testPool{t: t, now: testTime, Table: New(Settings{Seed: 1, OnLeaving: func(n LeavingEvent) { notes = append(notes, n) }})}
		p.reannounce(1, 40)
		first, second := p.leaseOf("i-0"), p.leaseOf("i-0")
		first.Observe(Feedback{Leaving: true}, p.now)
		second.Observe(Feedback{Leaving: true}, p.now)
		p.reannounce(2, 50)
		p.reportLeaving("i-0")
		p.expect("notes", len(notes), 2)
	})
}

// TestLeavingSetIsBounded guards against unbounded growth, and checks that the oldest
// entries are evicted first.
func TestLeavingSetIsBounded(t *testing.T) {
	incarnation := func(i int) Incarnation { return Incarnation{ID: granitehoist.Upstream(fmt.Sprint("i-", i))} }
	var l leavingSet
	for i := range maxLeavingIncarnations + 1 {
		l.add(incarnation(i), testTime.Add(time.Duration(i)*time.Millisecond))
	}
	if len(l.reportedAt) != maxLeavingIncarnations || l.contains(incarnation(0)) || !l.contains(incarnation(1)) {
		t.Errorf("%d incarnations, contains the first %v, the second %v", len(l.reportedAt), l.contains(incarnation(0)), l.contains(incarnation(1)))
	}
	l.add(incarnation(0), testTime.Add(2*leavingRetention))
	if len(l.reportedAt) != 1 {
		t.Errorf("%d incarnations left, want 1", len(l.reportedAt))
	}
}

// TestLeavingUpdates guards against leaving instances that other routers keep using, and
// against updates applied to the wrong incarnation.
func TestLeavingUpdates(t *testing.T) {
	t.Run("contain responses to this router, once for each version", func(t *testing.T) {
		p := newTestPool(t, 2)
		if updates, _ := p.UpdatesSince(0, p.now); updates.HasAny() {
			t.Errorf("%+v", updates)
		}
		p.reportLeaving("i-0")
		updates, version := p.UpdatesSince(0, p.now)
		p.expect("leaving", len(updates.Leaving), 1)
		updates, _ = p.UpdatesSince(version, p.now)
		p.expect("leaving", len(updates.Leaving), 0)
	})
	t.Run("exclude the instance at the receiver, which does not forward them", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.MergeUpdates(Updates{Leaving: []LeavingRecord{{Upstream: "i-0"}}}, p.now)
		p.expect("i-0", p.picks(50, Query{})["i-0"], 0)
		if updates, _ := p.UpdatesSince(0, p.now); updates.HasAny() {
			t.Errorf("%+v", updates)
		}
		p.expect("in the full state", len(p.Snapshot(p.now).Leaving), 1)
	})
	t.Run("are kept until the instance is announced", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.MergeUpdates(Updates{Leaving: []LeavingRecord{{Upstream: "i-9", StartedAtMS: 40}}}, p.now)
		p.Announce(Instance{ID: "i-9", Service: "pool", Version: 1, StartedAtMS: 40}, p.now)
		p.expect("i-9", p.picks(50, Query{})["i-9"], 0)
	})
	t.Run("of an earlier incarnation are ignored", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.reannounce(2, 50)
		p.MergeUpdates(Updates{Leaving: []LeavingRecord{{Upstream: "i-0", StartedAtMS: 40}}}, p.now)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
	})
	t.Run("of a later incarnation apply once that is announced", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.reannounce(2, 40)
		p.MergeUpdates(Updates{Leaving: []LeavingRecord{{Upstream: "i-0", StartedAtMS: 50}}}, p.now)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
		p.reannounce(3, 50)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 0)
	})
}
