// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pushback"
)

// requestBackoff lets an instance reject a new request and ask for backoff.
func (p *testPool) requestBackoff(id granitehoist.Upstream, d time.Duration) {
	p.t.Helper()
	lease := p.leaseOf(id)
	lease.Observe(Feedback{Backoff: d}, p.now)
	lease.Done(Refused, p.now)
}

// advance moves the clock forward.
func (p *testPool) advance(d time.Duration) { p.now = p.now.Add(d) }

// TestBackoff guards against requests sent to an instance before its backoff has ended.
func TestBackoff(t *testing.T) {
	const backoff = 3 * time.Second
	backingOff := func(t *testing.T, instances int) *testPool {
		p := newTestPool(t, instances)
		p.requestBackoff("i-0", backoff)
		return p
	}
	t.Run("excludes prefix owners and pinned instances until it ends", func(t *testing.T) {
		p := backingOff(t, 2)
		for range 10 {
			p.expect("i-0", p.picks(20, Query{})["i-0"], 0)
			for hash := range uint64(5) {
				p.expect("owner", p.picks(1, Query{PrefixHash: hash + 1, PrefixTokens: 5000, PromptTokens: 6000})["i-0"], 0)
				p.expect("pinned", p.picks(1, Query{Pin: hash + 1})["i-0"], 0)
			}
			p.advance(backoff/10 - time.Nanosecond)
		}
		p.advance(time.Microsecond)
		if p.picks(20, Query{})["i-0"] == 0 {
			t.Error("no request after the backoff ended")
		}
	})
	t.Run("keeps the latest end of several backoffs", func(t *testing.T) {
		p := newTestPool(t, 1)
		first, second := p.leaseOf("i-0"), p.leaseOf("i-0")
		first.Observe(Feedback{Backoff: backoff}, p.now)
		first.Done(Refused, p.now)
		p.advance(time.Second)
		second.Observe(Feedback{Backoff: time.Second}, p.now)
		second.Done(Refused, p.now)
		p.advance(backoff - time.Second - time.Millisecond)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 0)
		p.advance(time.Millisecond)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 1)
	})
	t.Run("continues after the success of an earlier request", func(t *testing.T) {
		p := newTestPool(t, 1)
		before := p.leaseOf("i-0")
		p.requestBackoff("i-0", backoff)
		p.advance(time.Second)
		before.Observe(Feedback{Accepted: true}, p.now)
		before.Done(Succeeded, p.now)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("continues after a refusal without a time and a repeated announcement", func(t *testing.T) {
		p := newTestPool(t, 1)
		before := p.leaseOf("i-0")
		p.requestBackoff("i-0", backoff)
		before.Done(Refused, p.now)
		p.reannounce(2, 0)
		p.advance(backoff / 2)
		p.expect("i-0", p.picks(1, Query{})["i-0"], 0)
	})
	t.Run("ends with the incarnation", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.reannounce(2, 40)
		p.requestBackoff("i-0", backoff)
		p.reannounce(3, 50)
		p.expect("i-0", p.picks(3, Query{})["i-0"], 3)
	})
	t.Run("is capped at the maximum", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.requestBackoff("i-0", 1e9*time.Second)
		p.advance(pushback.MaxBackoff - time.Second)
		p.expect("before", p.picks(1, Query{})["i-0"], 0)
		p.advance(time.Second)
		p.expect("after", p.picks(1, Query{})["i-0"], 1)
	})
	t.Run("keeps permits unused", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.requestBackoff("i-0", backoff)
		p.limit("i-0", 5)
		p.permit("i-0", 3, 0, backoff)
		p.expect("i-0", p.picks(20, Query{})["i-0"], 0)
		requests, _ := p.PermitRequests(p.now)
		p.expect("permit requests", len(requests), 0)
	})
	t.Run("reports its end in the error if no instance is available", func(t *testing.T) {
		p := backingOff(t, 1)
		p.advance(time.Second)
		_, err := p.Pick(Query{Service: "pool"}, p.now)
		if d, deferred := DeferralOf(err); !deferred || d != (Deferral{RetryIn: backoff - time.Second, Backoff: true}) {
			t.Errorf("%v", err)
		}
		if retryIn, known := p.RetryIn(Query{Service: "pool"}, p.now); !known || retryIn != backoff-time.Second {
			t.Errorf("%v %v", retryIn, known)
		}
	})
	t.Run("reports the earliest end of two backoffs", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.requestBackoff("i-0", backoff)
		p.requestBackoff("i-1", time.Second)
		_, err := p.Pick(Query{Service: "pool"}, p.now)
		if d, _ := DeferralOf(err); d.RetryIn != time.Second {
			t.Errorf("%v", d)
		}
	})
}

// TestBackoffRecovery guards against a burst of requests when a backoff ends.
func TestBackoffRecovery(t *testing.T) {
	const backoff = time.Second
	afterBackoff := func(t *testing.T) *testPool {
		p := newTestPool(t, 1)
		p.requestBackoff("i-0", backoff)
		p.advance(backoff)
		return p
	}
	// pickAll picks until no instance is available, and returns the leases.
	pickAll := func(p *testPool, limit int) []*Lease {
		var leases []*Lease
		for len(leases) < limit {
			lease, err := p.Pick(Query{Service: "pool"}, p.now)
			if err != nil {
				break
			}
			leases = append(leases, lease)
		}
		return leases
	}
	t.Run("doubles the concurrent probes with each accepted request", func(t *testing.T) {
		p := afterBackoff(t)
		for _, want := range []int{1, 2, 8} {
			leases := pickAll(p, 100)
			p.expect("concurrent requests", len(leases), want)
			p.advance(time.Millisecond)
			for _, l := range leases {
				l.Observe(Feedback{Accepted: true}, p.now)
			}
		}
		p.expect("concurrent requests", len(pickAll(p, 100)), 100)
	})
	t.Run("allows one probe after a refusal without a time", func(t *testing.T) {
		p := afterBackoff(t)
		pickAll(p, 1)[0].Done(Refused, p.now)
		p.advance(firstEjection)
		p.expect("concurrent requests", len(pickAll(p, 100)), 1)
	})
	t.Run("starts over after another backoff", func(t *testing.T) {
		p := afterBackoff(t)
		p.requestBackoff("i-0", backoff)
		p.expect("concurrent requests", len(pickAll(p, 100)), 0)
		p.advance(backoff)
		p.expect("concurrent requests", len(pickAll(p, 100)), 1)
	})
	t.Run("replaces a probe whose caller disconnected", func(t *testing.T) {
		p := afterBackoff(t)
		pickAll(p, 1)[0].Done(Inconclusive, p.now)
		p.expect("concurrent requests", len(pickAll(p, 100)), 1)
	})
	t.Run("counts an error response as an accepted probe", func(t *testing.T) {
		p := afterBackoff(t)
		lease := pickAll(p, 1)[0]
		p.advance(time.Millisecond)
		lease.Done(Failed, p.now)
		p.expect("concurrent requests", len(pickAll(p, 100)), 2)
	})
	t.Run("ignores a probe sent before a later backoff", func(t *testing.T) {
		p := afterBackoff(t)
		early := pickAll(p, 1)[0]
		early.Observe(Feedback{Accepted: true}, p.now)
		two := pickAll(p, 2)
		p.advance(time.Millisecond)
		two[0].Observe(Feedback{Backoff: backoff}, p.now)
		two[0].Done(Refused, p.now)
		two[1].Observe(Feedback{Accepted: true}, p.now)
		p.advance(backoff)
		p.expect("concurrent requests", len(pickAll(p, 100)), 1)
	})
	t.Run("probes with the waiting request of highest priority", func(t *testing.T) {
		p := afterBackoff(t)
		waiter, _ := p.NewWaiter(&Query{Service: "pool", Priority: granitehoist.MaxPriority, MaxWait: backoff})
		defer waiter.Close()
		p.expect("low priority", p.picks(1, Query{Priority: granitehoist.MinPriority})["i-0"], 0)
		p.expect("high priority", p.picks(1, Query{Priority: granitehoist.MaxPriority, Waiting: true})["i-0"], 1)
	})
	t.Run("does not limit an instance without a backoff", func(t *testing.T) {
		p := newTestPool(t, 1)
		p.expect("concurrent requests", len(pickAll(p, 100)), 100)
	})
}
