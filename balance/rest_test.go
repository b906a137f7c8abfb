// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pushback"
)

// askRest makes an answer to a new request of an instance ask for rest.
func (p *testPool) askRest(id granitehoist.Upstream, d time.Duration) {
	p.t.Helper()
	lease := p.leaseOf(id)
	lease.Note(Statement{Rest: d}, p.now)
	lease.Done(Refused, p.now)
}

// after moves the time on.
func (p *testPool) after(d time.Duration) { p.now = p.now.Add(d) }

// TestRest checks for how long an instance gets nothing that asked for rest.
func TestRest(t *testing.T) {
	const rest = 3 * time.Second
	resting := func(t *testing.T, instances int) *testPool {
		p := newTestPool(t, instances)
		p.askRest("i-0", rest)
		return p
	}
	t.Run("nothing until its end, the owner of a prefix and the pinned one included", func(t *testing.T) {
		p := resting(t, 2)
		for range 10 {
			p.expect("i-0", p.picks(20, Query{})["i-0"], 0)
			for hash := range uint64(5) {
				p.expect("owner", p.picks(1, Query{PrefixHash: hash + 1, PrefixTokens: 5000, PromptTokens: 6000})["i-0"], 0)
				p.expect("pinned", p.picks(1, Query{Pin: hash + 1})["i-0"], 0)
			}
			p.after(rest/10 - time.Nanosecond)
		}
		p.after(time.Microsecond)
		if p.picks(20, Query{})["i-0"] == 0 {
			t.Error("it got nothing after its rest")
		}
	})
	t.Run("of several rests the latest end holds", func(t *testing.T) {
		p := newTestPool(t, 1)
		first, second := p.leaseOf("i-0"), p.leaseOf("i-0")
		first.Note(Statement{Rest: rest}, p.now)
		first.Done(Refused, p.now)
		p.after(time.Second)
		second.Note(Statement{Rest: time.Second}, p.now)
		second.Done(Refused, p.now)
		p.after(rest - time.Second - time.Millisecond)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 0)
		p.after(time.Millisecond)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 1)
	})
	t.Run("what was under way before and ends well does not end it", func(t *testing.T) {
		p := newTestPool(t, 1)
		before := p.leaseOf("i-0")
		p.askRest("i-0", rest)
		p.after(time.Second)
		before.Note(Statement{Taken: true}, p.now)
		before.Done(Good, p.now)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("a refusal that names no time does not end it, nor does a repeated entry", func(t *testing.T) {
		p := newTestPool(t, 1)
		before := p.leaseOf("i-0")
		p.askRest("i-0", rest)
		before.Done(Refused, p.now)
		p.announceAgain(2, 0)
		p.after(rest / 2)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("the next life begins without it", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.announceAgain(2, 40)
		p.askRest("i-0", rest)
		p.announceAgain(3, 50)
		p.expect("i-0", p.picks(3, Query{})["i-0"], 3)
	})
	t.Run("a time beyond belief ends", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.askRest("i-0", 1e9*time.Second)
		p.after(pushback.MaxRest - time.Second)
		p.expect("before", p.picks(1, Query{})["i-0"], 0)
		p.after(time.Second)
		p.expect("after", p.picks(1, Query{})["i-0"], 1)
	})
	t.Run("a permit for it is not used", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.askRest("i-0", rest)
		p.limit("i-0", 5)
		p.permit("i-0", 3, 0, rest)
		p.expect("i-0", p.picks(20, Query{})["i-0"], 0)
		requests, _ := p.PermitRequests(p.now)
		p.expect("permits asked for", len(requests), 0)
	})
	t.Run("with no other left, the error says when it ends", func(t *testing.T) {
		p := resting(t, 1)
		p.after(time.Second)
		_, err := p.Pick(Query{Service: "pool"}, p.now)
		if d, deferred := DeferralOf(err); !deferred || d != (Deferral{Chance: rest - time.Second, Rest: true}) {
			t.Errorf("%v", err)
		}
		if chance, known := p.NextChance(Query{Service: "pool"}, p.now); !known || chance != rest-time.Second {
			t.Errorf("%v %v", chance, known)
		}
	})
	t.Run("of two that rest the error names the first end", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.askRest("i-0", rest)
		p.askRest("i-1", time.Second)
		_, err := p.Pick(Query{Service: "pool"}, p.now)
		if d, _ := DeferralOf(err); d.Chance != time.Second {
			t.Errorf("%v", d)
		}
	})
}

// TestRecovery checks how an instance gets its requests back after a rest.
func TestRecovery(t *testing.T) {
	const rest = time.Second
	rested := func(t *testing.T) *testPool {
		p := newTestPool(t, 1)
		p.askRest("i-0", rest)
		p.after(rest)
		return p
	}
	// takes picks until there is no room, and returns the leases.
	takes := func(p *testPool, most int) []*Lease {
		var leases []*Lease
		for len(leases) < most {
			lease, err := p.Pick(Query{Service: "pool"}, p.now)
			if err != nil {
				break
			}
			leases = append(leases, lease)
		}
		return leases
	}
	t.Run("one first, then twice as many with each that it takes, then all", func(t *testing.T) {
		p := rested(t)
		for _, want := range []int{1, 2, 8} {
			leases := takes(p, 100)
			p.expect("at once", len(leases), want)
			p.after(time.Millisecond)
			for _, l := range leases {
				l.Note(Statement{Taken: true}, p.now)
			}
		}
		p.expect("at once", len(takes(p, 100)), 100)
	})
	t.Run("one that is turned away without a time leaves it at one", func(t *testing.T) {
		p := rested(t)
		takes(p, 1)[0].Done(Refused, p.now)
		p.after(firstEjection)
		p.expect("at once", len(takes(p, 100)), 1)
	})
	t.Run("one that asks for rest again begins it anew", func(t *testing.T) {
		p := rested(t)
		p.askRest("i-0", rest)
		p.expect("at once", len(takes(p, 100)), 0)
		p.after(rest)
		p.expect("at once", len(takes(p, 100)), 1)
	})
	t.Run("a trial whose caller leaves makes room for the next", func(t *testing.T) {
		p := rested(t)
		takes(p, 1)[0].Done(Unclear, p.now)
		p.expect("at once", len(takes(p, 100)), 1)
	})
	t.Run("a failure of its own says that it takes requests", func(t *testing.T) {
		p := rested(t)
		lease := takes(p, 1)[0]
		p.after(time.Millisecond)
		lease.Done(Failed, p.now)
		p.expect("at once", len(takes(p, 100)), 2)
	})
	t.Run("a trial of before a later rest says nothing after it", func(t *testing.T) {
		p := rested(t)
		early := takes(p, 1)[0]
		early.Note(Statement{Taken: true}, p.now)
		two := takes(p, 2)
		p.after(time.Millisecond)
		two[0].Note(Statement{Rest: rest}, p.now)
		two[0].Done(Refused, p.now)
		two[1].Note(Statement{Taken: true}, p.now)
		p.after(rest)
		p.expect("at once", len(takes(p, 100)), 1)
	})
	t.Run("the more urgent of those that wait goes first", func(t *testing.T) {
		p := rested(t)
		waiter, _ := p.NewWaiter(&Query{Service: "pool", Priority: granitehoist.MaxPriority, MaxWait: rest})
		defer waiter.Close()
		p.expect("less urgent", p.picks(1, Query{Priority: granitehoist.MinPriority})["i-0"], 0)
		p.expect("urgent", p.picks(1, Query{Priority: granitehoist.MaxPriority, Waiting: true})["i-0"], 1)
	})
	t.Run("an instance that never rested is not concerned", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.expect("at once", len(takes(p, 100)), 100)
	})
}
