// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// TestKnownLimit guards against a wrong view of the limit when responses arrive out of
// order.
func TestKnownLimit(t *testing.T) {
	at := func(s float64) time.Time { return testTime.Add(time.Duration(s * float64(time.Second))) }
	withRate := func(rate Rate) RateFeedback { return RateFeedback{HasRate: true, Rate: rate, FromInstance: true} }
	limit := func(rate Rate, asOf float64) knownLimit {
		return knownLimit{limited: true, rate: rate, asOf: at(asOf)}
	}
	lifted := func(asOf float64) knownLimit { return knownLimit{asOf: at(asOf)} }
	noLimit := RateFeedback{FromInstance: true}
	cases := []struct {
		name        string
		known       knownLimit
		feedback    RateFeedback
		sent, now   float64
		wantLimited bool
		wantRate    Rate
		wantAsOf    float64
	}{
		{"a first limit applies as of its response", knownLimit{}, withRate(2), 1, 3, true, 2, 3},
		{"a lower limit applies as of its response, even to an earlier request", limit(2, 3), withRate(1), 1, 4, true, 1, 4},
		{"a higher limit applies as of its request", limit(2, 3), withRate(5), 4, 6, true, 5, 4},
		{"a higher limit in a response to an earlier request is ignored", limit(2, 3), withRate(5), 2, 6, true, 2, 3},
		{"a response without a limit lifts it", limit(2, 3), noLimit, 4, 6, false, 0, 4},
		{"a response without a limit to an earlier request is ignored", limit(2, 3), noLimit, 2, 6, true, 2, 3},
		{"a response of an intermediary does not lift the limit", limit(2, 3), RateFeedback{}, 4, 6, true, 2, 3},
		{"an invalid rate is ignored", limit(2, 3), RateFeedback{Unreadable: true, FromInstance: true}, 4, 6, true, 2, 3},
		{"a lifted limit is set again", lifted(3), withRate(2), 4, 6, true, 2, 6},
		{"zero is a limit", knownLimit{}, withRate(0), 1, 3, true, 0, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.known.withResponse(c.feedback, at(c.sent), at(c.now))
			want := knownLimit{limited: c.wantLimited, rate: c.wantRate, asOf: at(c.wantAsOf)}
			if got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
	t.Run("the more recent report of two routers applies", func(t *testing.T) {
		if got := limit(2, 3).merged(lifted(4)); got.limited {
			t.Errorf("%+v", got)
		}
		if got := limit(2, 3).merged(lifted(2)); !got.limited {
			t.Errorf("%+v", got)
		}
	})
}

// testPool is a table with instances of one service and a clock.
type testPool struct {
	t   *testing.T
	now time.Time
	*Table
}

// newTestPool returns a table with the given number of instances, named i-0 and so on.
func newTestPool(t *testing.T, instances int) *testPool {
	p := &testPool{t: t, now: testTime, Table: New(Settings{Seed: 1})}
	for i := range instances {
		p.Announce(Instance{ID: granitehoist.Upstream(fmt.Sprint("i-", i)), Service: "pool", Capacity: 8, Version: 1}, p.now)
	}
	return p
}

// limit applies a rate limit reported by another router.
func (p *testPool) limit(id granitehoist.Upstream, rate Rate) {
	p.MergeLimits([]LimitRecord{{Upstream: id, Limited: true, Rate: rate}}, p.now)
}

// picks returns how many of count requests each instance gets; the key "" counts those
// without an instance.
func (p *testPool) picks(count int, q Query) map[granitehoist.Upstream]int {
	q.Service = "pool"
	got := map[granitehoist.Upstream]int{}
	for range count {
		lease, err := p.Pick(q, p.now)
		if err != nil {
			got[""]++
			continue
		}
		got[lease.ID]++
		lease.Done(Succeeded, p.now)
	}
	return got
}

// permit adds permits that are valid from due until expires, relative to the current
// time.
func (p *testPool) permit(id granitehoist.Upstream, count int, due, expires time.Duration) {
	p.AddPermits(PermitResponse{Incarnation: Incarnation{ID: id}, Count: count, Due: p.now.Add(due), Expires: p.now.Add(expires)})
}

func (p *testPool) expect(what string, got, want int) {
	p.t.Helper()
	if got != want {
		p.t.Errorf("%s: got %d, want %d", what, got, want)
	}
}

// TestPermits guards against requests without a permit to a rate-limited instance.
func TestPermits(t *testing.T) {
	t.Run("without a permit, other instances are used", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.expect("i-1", p.picks(10, Query{})["i-1"], 10)
	})
	t.Run("prefix owners and pinned instances need permits", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		for hash := range uint64(20) {
			p.expect("i-0", p.picks(1, Query{PrefixHash: hash + 1, PrefixTokens: 5000, PromptTokens: 6000})["i-0"], 0)
			p.expect("i-0 by pin", p.picks(1, Query{Pin: hash + 1})["i-0"], 0)
		}
	})
	t.Run("a permit is used once", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.permit("i-0", 3, 0, time.Second)
		got := p.picks(10, Query{})
		p.expect("i-0", got["i-0"], 3)
		p.expect("none", got[""], 7)
	})
	t.Run("a permit is valid from its due time until it expires", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.permit("i-0", 1, 10*time.Millisecond, 20*time.Millisecond)
		p.expect("before", p.picks(1, Query{})["i-0"], 0)
		p.now = p.now.Add(20 * time.Millisecond)
		p.expect("after", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("a new incarnation has no limit", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 2, StartedAtMS: 5}, p.now)
		p.MergeLimits([]LimitRecord{{Upstream: "i-0", StartedAtMS: 5, Limited: true, Rate: 2}}, p.now)
		p.expect("limited", p.picks(1, Query{})["i-0"], 0)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 3, StartedAtMS: 6}, p.now)
		p.expect("restarted", p.picks(5, Query{})["i-0"], 5)
	})
	t.Run("a reported limit is kept until the instance is announced", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-1", 2)
		p.Announce(Instance{ID: "i-1", Service: "pool", Version: 1}, p.now)
		p.expect("i-1", p.picks(10, Query{})["i-1"], 0)
	})
	t.Run("a permit does not override draining", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.permit("i-0", 5, 0, time.Second)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 2, Draining: true}, p.now)
		p.expect("draining", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("no permit is needed once the limit is lifted", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.now = p.now.Add(time.Second)
		p.MergeLimits([]LimitRecord{{Upstream: "i-0"}}, p.now)
		p.expect("i-0", p.picks(10, Query{})["i-0"], 10)
	})
}

// TestPermitRequests guards against permit requests that are repeated, early or without
// demand.
func TestPermitRequests(t *testing.T) {
	expectRequests := func(p *testPool, want ...int) {
		p.t.Helper()
		requests, _ := p.PermitRequests(p.now)
		var got []int
		for _, r := range requests {
			got = append(got, r.Count)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			p.t.Errorf("got %v, want %v", got, want)
		}
	}
	t.Run("none without demand", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		expectRequests(p)
	})
	t.Run("one for all demand, and none while another is in flight", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.picks(4, Query{})
		expectRequests(p, 4)
		p.picks(3, Query{})
		expectRequests(p)
		p.permit("i-0", 0, 0, 0)
		expectRequests(p, 3)
	})
	t.Run("not before the retry time", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.picks(1, Query{})
		expectRequests(p, 1)
		p.AddPermits(PermitResponse{Incarnation: Incarnation{ID: "i-0"}, RetryAt: p.now.Add(time.Second)})
		p.picks(1, Query{})
		if requests, next := p.PermitRequests(p.now); len(requests) != 0 || !next.Equal(p.now.Add(time.Second)) {
			t.Errorf("%v, %v", requests, next)
		}
		p.now = p.now.Add(time.Second)
		expectRequests(p, 1)
	})
	t.Run("none for an ended incarnation", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 2, StartedAtMS: 5}, p.now)
		p.MergeLimits([]LimitRecord{{Upstream: "i-0", StartedAtMS: 5, Limited: true}}, p.now)
		p.picks(1, Query{})
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 3, StartedAtMS: 6}, p.now)
		expectRequests(p)
		p.expect("instances awaiting permits", len(p.awaitingPermits), 0)
	})
}

// TestWaitingOrder guards against priority inversion among waiting requests, and against
// more of them than can be served.
func TestWaitingOrder(t *testing.T) {
	wait := func(p *testPool, priority granitehoist.Priority) (*Waiter, bool) {
		return p.NewWaiter(&Query{Service: "pool", Priority: priority, MaxWait: time.Second})
	}
	t.Run("serves by priority, then by arrival", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 5)
		p.permit("i-0", 9, 0, time.Second)
		w, _ := wait(p, 5)
		p.expect("lower priority", p.picks(1, Query{Priority: 4, Waiting: true})["i-0"], 0)
		p.expect("equal priority, not waiting", p.picks(1, Query{Priority: 5})["i-0"], 0)
		p.expect("waiting request", p.picks(1, Query{Priority: 5, Waiting: true})["i-0"], 1)
		p.expect("higher priority", p.picks(1, Query{Priority: 6})["i-0"], 1)
		w.Close()
		p.expect("without waiting requests", p.picks(1, Query{Priority: 4})["i-0"], 1)
	})
	t.Run("admits no more than can be served", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		for range 3 {
			if _, ok := wait(p, 5); !ok {
				t.Fatal("fewer than three requests may wait at a limit of 2 a second")
			}
		}
		if _, ok := wait(p, 5); ok {
			t.Error("a fourth request was admitted")
		}
	})
	t.Run("reports in the error when a permit may be available", func(t *testing.T) {
		p := newTestPool(t, 2)
		for _, id := range []granitehoist.Upstream{"i-0", "i-1"} {
			p.limit(id, 2)
			p.picks(1, Query{})
		}
		p.PermitRequests(p.now)
		for id, retry := range map[granitehoist.Upstream]time.Duration{"i-0": 3 * time.Second, "i-1": 2 * time.Second} {
			p.AddPermits(PermitResponse{Incarnation: Incarnation{ID: id}, RetryAt: p.now.Add(retry)})
		}
		_, err := p.Pick(Query{Service: "pool"}, p.now)
		if d, deferred := DeferralOf(err); !deferred || d != (Deferral{RetryIn: 2 * time.Second}) {
			t.Errorf("%v, %v", d, deferred)
		}
	})
}
