// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// TestKnownLimit checks what is believed after answers that come in any order.
func TestKnownLimit(t *testing.T) {
	at := func(s float64) time.Time { return noon.Add(time.Duration(s * float64(time.Second))) }
	named := func(rate Rate) RateStatement { return RateStatement{Named: true, Rate: rate, Own: true} }
	limit := func(rate Rate, asOf float64) knownLimit {
		return knownLimit{named: true, rate: rate, asOf: at(asOf)}
	}
	ended := func(asOf float64) knownLimit { return knownLimit{asOf: at(asOf)} }
	silent := RateStatement{Own: true}
	cases := []struct {
		name       string
		known      knownLimit
		said       RateStatement
		sent, now  float64
		wantNamed  bool
		wantRate   Rate
		wantAsOfIs float64
	}{
		{"a first limit holds from its answer on", knownLimit{}, named(2), 1, 3, true, 2, 3},
		{"a lower one too, also if its request was sent before", limit(2, 3), named(1), 1, 4, true, 1, 4},
		{"a higher one from its request on", limit(2, 3), named(5), 4, 6, true, 5, 4},
		{"an answer under way when a lower one was named", limit(2, 3), named(5), 2, 6, true, 2, 3},
		{"an answer without a limit ends it", limit(2, 3), silent, 4, 6, false, 0, 4},
		{"an answer without a limit that was under way", limit(2, 3), silent, 2, 6, true, 2, 3},
		{"an answer of something on the way ends nothing", limit(2, 3), RateStatement{}, 4, 6, true, 2, 3},
		{"what can't be read changes nothing", limit(2, 3), RateStatement{Unreadable: true, Own: true}, 4, 6, true, 2, 3},
		{"a limit comes back", ended(3), named(2), 4, 6, true, 2, 6},
		{"zero is a limit", knownLimit{}, named(0), 1, 3, true, 0, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.known.after(c.said, at(c.sent), at(c.now))
			want := knownLimit{named: c.wantNamed, rate: c.wantRate, asOf: at(c.wantAsOfIs)}
			if got != want {
				t.Errorf("%+v, not %+v", got, want)
			}
		})
	}
	t.Run("of two routers the later one is believed", func(t *testing.T) {
		if got := limit(2, 3).merged(ended(4)); got.named {
			t.Errorf("%+v", got)
		}
		if got := limit(2, 3).merged(ended(2)); !got.named {
			t.Errorf("%+v", got)
		}
	})
}

// testPool is a table with instances of one service.
type testPool struct {
	t   *testing.T
	now time.Time
	*Table
}

// newTestPool returns a table with so many instances, i-0 and so on.
func newTestPool(t *testing.T, instances int) *testPool {
	p := &testPool{t: t, now: noon, Table: New(Settings{Seed: 1})}
	for i := range instances {
		p.Announce(Instance{ID: granitehoist.Upstream(fmt.Sprint("i-", i)), Service: "pool", Capacity: 8, Version: 1}, p.now)
	}
	return p
}

// limit makes another router tell of a limit.
func (p *testPool) limit(id granitehoist.Upstream, rate Rate) {
	p.MergeLimits([]LimitRecord{{Upstream: id, Limited: true, Rate: rate}}, p.now)
}

// picks returns how many of so many requests each instance gets; "" counts those that
// found none.
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
		lease.Done(Good, p.now)
	}
	return got
}

// permit gives the table permits that may be used from due until expires, from now on.
func (p *testPool) permit(id granitehoist.Upstream, count int, due, expires time.Duration) {
	p.NotePermits(PermitAnswer{Life: Life{ID: id}, Count: count, Due: p.now.Add(due), Expires: p.now.Add(expires)})
}

func (p *testPool) expect(what string, got, want int) {
	p.t.Helper()
	if got != want {
		p.t.Errorf("%s: %d, not %d", what, got, want)
	}
}

// TestPermits checks that an instance with a limit gets what permits allow, and nothing else.
func TestPermits(t *testing.T) {
	t.Run("without a permit all goes elsewhere", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.expect("i-1", p.picks(10, Query{})["i-1"], 10)
	})
	t.Run("the owner of a prefix is no exception", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		for hash := range uint64(20) {
			p.expect("i-0", p.picks(1, Query{PrefixHash: hash + 1, PrefixTokens: 5000, PromptTokens: 6000})["i-0"], 0)
			p.expect("i-0 by pin", p.picks(1, Query{Pin: hash + 1})["i-0"], 0)
		}
	})
	t.Run("a permit serves once", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.permit("i-0", 3, 0, time.Second)
		got := p.picks(10, Query{})
		p.expect("i-0", got["i-0"], 3)
		p.expect("none", got[""], 7)
	})
	t.Run("not before it is due, and not after it has expired", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.permit("i-0", 1, 10*time.Millisecond, 20*time.Millisecond)
		p.expect("before", p.picks(1, Query{})["i-0"], 0)
		p.now = p.now.Add(20 * time.Millisecond)
		p.expect("after", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("a new life has no limit, and permits of the one before don't count", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 2, Born: 5}, p.now)
		p.MergeLimits([]LimitRecord{{Upstream: "i-0", Born: 5, Limited: true, Rate: 2}}, p.now)
		p.expect("limited", p.picks(1, Query{})["i-0"], 0)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 3, Born: 6}, p.now)
		p.expect("reborn", p.picks(5, Query{})["i-0"], 5)
	})
	t.Run("what another router tells before the announcement holds after it", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-1", 2)
		p.Announce(Instance{ID: "i-1", Service: "pool", Version: 1}, p.now)
		p.expect("i-1", p.picks(10, Query{})["i-1"], 0)
	})
	t.Run("a stricter rule goes before a permit", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.permit("i-0", 5, 0, time.Second)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 2, Draining: true}, p.now)
		p.expect("draining", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("all is as before once the limit has ended", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		p.now = p.now.Add(time.Second)
		p.MergeLimits([]LimitRecord{{Upstream: "i-0"}}, p.now)
		p.expect("i-0", p.picks(10, Query{})["i-0"], 10)
	})
}

// TestPermitRequests checks what is asked for, and when.
func TestPermitRequests(t *testing.T) {
	expectRequests := func(p *testPool, want ...int) {
		p.t.Helper()
		requests, _ := p.PermitRequests(p.now)
		var got []int
		for _, r := range requests {
			got = append(got, r.Count)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			p.t.Errorf("%v, not %v", got, want)
		}
	}
	t.Run("nothing while nobody needs one", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		expectRequests(p)
	})
	t.Run("one question for all requests since the last, and none while it is under way", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.picks(4, Query{})
		expectRequests(p, 4)
		p.picks(3, Query{})
		expectRequests(p)
		p.permit("i-0", 0, 0, 0)
		expectRequests(p, 3)
	})
	t.Run("not before the issuer said", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.picks(1, Query{})
		expectRequests(p, 1)
		p.NotePermits(PermitAnswer{Life: Life{ID: "i-0"}, Retry: p.now.Add(time.Second)})
		p.picks(1, Query{})
		if requests, next := p.PermitRequests(p.now); len(requests) != 0 || !next.Equal(p.now.Add(time.Second)) {
			t.Errorf("%v, %v", requests, next)
		}
		p.now = p.now.Add(time.Second)
		expectRequests(p, 1)
	})
	t.Run("nothing for a life that is over", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 2, Born: 5}, p.now)
		p.MergeLimits([]LimitRecord{{Upstream: "i-0", Born: 5, Limited: true}}, p.now)
		p.picks(1, Query{})
		p.Announce(Instance{ID: "i-0", Service: "pool", Version: 3, Born: 6}, p.now)
		expectRequests(p)
		p.expect("list", len(p.wanting), 0)
	})
}

// TestWaitingOrder checks who may use a permit while others wait, and how many wait.
func TestWaitingOrder(t *testing.T) {
	wait := func(p *testPool, priority granitehoist.Priority) (*Waiter, bool) {
		return p.NewWaiter(&Query{Service: "pool", Priority: priority, MaxWait: time.Second})
	}
	t.Run("the most urgent one first, and whoever came before", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 5)
		p.permit("i-0", 9, 0, time.Second)
		w, _ := wait(p, 5)
		p.expect("less urgent", p.picks(1, Query{Priority: 4, Waiting: true})["i-0"], 0)
		p.expect("as urgent, but later", p.picks(1, Query{Priority: 5})["i-0"], 0)
		p.expect("the one that waits", p.picks(1, Query{Priority: 5, Waiting: true})["i-0"], 1)
		p.expect("more urgent", p.picks(1, Query{Priority: 6})["i-0"], 1)
		w.Close()
		p.expect("when nobody waits", p.picks(1, Query{Priority: 4})["i-0"], 1)
	})
	t.Run("no more than can be served", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.limit("i-0", 2)
		for range 3 {
			if _, ok := wait(p, 5); !ok {
				t.Fatal("the limit lets two requests through in a second, and one may wait in any case")
			}
		}
		if _, ok := wait(p, 5); ok {
			t.Error("a fourth request waits")
		}
	})
	t.Run("the error says when a permit may be had", func(t *testing.T) {
		p := newTestPool(t, 2)
		for _, id := range []granitehoist.Upstream{"i-0", "i-1"} {
			p.limit(id, 2)
			p.picks(1, Query{})
		}
		p.PermitRequests(p.now)
		for id, retry := range map[granitehoist.Upstream]time.Duration{"i-0": 3 * time.Second, "i-1": 2 * time.Second} {
			p.NotePermits(PermitAnswer{Life: Life{ID: id}, Retry: p.now.Add(retry)})
		}
		_, err := p.Pick(Query{Service: "pool"}, p.now)
		if d, deferred := DeferralOf(err); !deferred || d != (Deferral{Chance: 2 * time.Second}) {
			t.Errorf("%v, %v", d, deferred)
		}
	})
}
