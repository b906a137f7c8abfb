// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// sayLeaving makes an answer of an instance, to a request that it got, say that it leaves.
func (p *testPool) sayLeaving(id granitehoist.Upstream) {
	p.t.Helper()
	lease := p.leaseOf(id)
	lease.Note(Statement{Leaving: true}, p.now)
	lease.Done(Good, p.now)
}

// leaseOf picks until it gets a lease of an instance.
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
		lease.Done(Good, p.now)
	}
	p.t.Fatalf("no request for %s", id)
	return nil
}

// announceAgain announces i-0 as ready, in a life.
func (p *testPool) announceAgain(version granitehoist.Version, born int64) {
	p.Announce(Instance{ID: "i-0", Service: "pool", Capacity: 8, Version: version, Born: born}, p.now)
}

// TestLeaving checks what an instance gets that said in an answer that it leaves, and for
// how long that holds.
func TestLeaving(t *testing.T) {
	leaving := func(t *testing.T, instances int) *testPool {
		p := newTestPool(t, instances)
		p.sayLeaving("i-0")
		return p
	}
	expectNone := func(p *testPool) {
		p.t.Helper()
		p.expect("i-0", p.picks(50, Query{})["i-0"], 0)
	}
	t.Run("it gets nothing more, the owner of a prefix and the pinned one included", func(t *testing.T) {
		p := leaving(t, 2)
		expectNone(p)
		for hash := range uint64(20) {
			p.expect("i-0", p.picks(1, Query{PrefixHash: hash + 1, PrefixTokens: 5000, PromptTokens: 6000})["i-0"], 0)
			p.expect("i-0 by pin", p.picks(1, Query{Pin: hash + 1})["i-0"], 0)
		}
	})
	t.Run("also with no other left, and at once", func(t *testing.T) {
		p := leaving(t, 1)
		p.expect("none", p.picks(1, Query{})[""], 1)
	})
	t.Run("a permit that it issued before changes nothing", func(t *testing.T) {
		p := newTestPool(t, 2)
		lease := p.leaseOf("i-0")
		p.limit("i-0", 2)
		p.permit("i-0", 1, 0, time.Second)
		lease.Note(Statement{Leaving: true}, p.now)
		expectNone(p)
	})
	t.Run("a later answer that does not say so takes nothing back", func(t *testing.T) {
		p := newTestPool(t, 1)
		first, second := p.leaseOf("i-0"), p.leaseOf("i-0")
		first.Note(Statement{Leaving: true}, p.now)
		second.Note(Statement{Rate: RateStatement{Own: true}}, p.now)
		second.Done(Good, p.now)
		p.expect("none", p.picks(1, Query{})[""], 1)
	})
	t.Run("nor does a newer entry that says ready", func(t *testing.T) {
		p := leaving(t, 2)
		p.announceAgain(7, 0)
		p.announceAgain(8, 40)
		expectNone(p)
	})
	t.Run("nor an old one after its removal, whatever was forgotten since", func(t *testing.T) {
		p := leaving(t, 2)
		p.Remove("i-0", p.now)
		p.now = p.now.Add(time.Minute)
		p.Remove("i-1", p.now)
		p.expect("known instances", len(p.Statuses(p.now)), 1)
		p.announceAgain(9, 0)
		expectNone(p)
	})
	t.Run("an answer to a request of the life before says nothing of the next", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.announceAgain(2, 40)
		lease := p.leaseOf("i-0")
		p.announceAgain(3, 50)
		lease.Note(Statement{Leaving: true}, p.now)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
		if p.IsLeaving("i-0") {
			t.Error("the next life leaves too")
		}
	})
	t.Run("the next life begins free", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.announceAgain(2, 40)
		p.sayLeaving("i-0")
		p.announceAgain(3, 50)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
	})
	t.Run("an instance that leaves has not crashed when it ends", func(t *testing.T) {
		if p := leaving(t, 2); !p.IsLeaving("i-0") || p.IsLeaving("i-1") {
			t.Error("i-0 alone leaves")
		}
	})
	t.Run("it is told once for each life", func(t *testing.T) {
		var notes []LeavingNote
		p := &testPool{t: t, now: noon, Table: New(Settings{Seed: 1, LeavingNoted: func(n LeavingNote) { notes = append(notes, n) }})}
		p.announceAgain(1, 40)
		first, second := p.leaseOf("i-0"), p.leaseOf("i-0")
		first.Note(Statement{Leaving: true}, p.now)
		second.Note(Statement{Leaving: true}, p.now)
		p.announceAgain(2, 50)
		p.sayLeaving("i-0")
		p.expect("notes", len(notes), 2)
	})
}

// TestLeaversAreBounded checks that the oldest are forgotten first, at the bound and after
// their time.
func TestLeaversAreBounded(t *testing.T) {
	life := func(i int) Life { return Life{ID: granitehoist.Upstream(fmt.Sprint("i-", i))} }
	var l leavers
	for i := range maxLeavers + 1 {
		l.add(life(i), noon.Add(time.Duration(i)*time.Millisecond))
	}
	if len(l.heardAt) != maxLeavers || l.has(life(0)) || !l.has(life(1)) {
		t.Errorf("%d lives, the first %v, the second %v", len(l.heardAt), l.has(life(0)), l.has(life(1)))
	}
	l.add(life(0), noon.Add(2*leaverMemory))
	if len(l.heardAt) != 1 {
		t.Errorf("%d lives are left", len(l.heardAt))
	}
}

// TestLeavingNews checks what one router tells another of instances that leave.
func TestLeavingNews(t *testing.T) {
	t.Run("what it heard itself, once for each that asks", func(t *testing.T) {
		p := newTestPool(t, 2)
		if news, _ := p.NewsAfter(0, p.now); news.Any() {
			t.Errorf("%+v", news)
		}
		p.sayLeaving("i-0")
		news, version := p.NewsAfter(0, p.now)
		p.expect("leaving", len(news.Leaving), 1)
		news, _ = p.NewsAfter(version, p.now)
		p.expect("leaving", len(news.Leaving), 0)
	})
	t.Run("the other sends it nothing more, and does not pass it on", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.MergeNews(News{Leaving: []LeavingRecord{{Upstream: "i-0"}}}, p.now)
		p.expect("i-0", p.picks(50, Query{})["i-0"], 0)
		if news, _ := p.NewsAfter(0, p.now); news.Any() {
			t.Errorf("%+v", news)
		}
		p.expect("in a greeting", len(p.AllNews(p.now).Leaving), 1)
	})
	t.Run("before the announcement it holds after that", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.MergeNews(News{Leaving: []LeavingRecord{{Upstream: "i-9", Born: 40}}}, p.now)
		p.Announce(Instance{ID: "i-9", Service: "pool", Version: 1, Born: 40}, p.now)
		p.expect("i-9", p.picks(50, Query{})["i-9"], 0)
	})
	t.Run("of an earlier life it says nothing", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.announceAgain(2, 50)
		p.MergeNews(News{Leaving: []LeavingRecord{{Upstream: "i-0", Born: 40}}}, p.now)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
	})
	t.Run("of a later life it holds once that is announced", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.announceAgain(2, 40)
		p.MergeNews(News{Leaving: []LeavingRecord{{Upstream: "i-0", Born: 50}}}, p.now)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 5)
		p.announceAgain(3, 50)
		p.expect("i-0", p.picks(5, Query{})["i-0"], 0)
	})
}
