// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"context"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("ejectionTime", func() {
	DescribeTable("doubles with each consecutive failure up to the maximum",
		func(failures int, want time.Duration) { Expect(ejectionTime(failures)).To(Equal(want)) },
		Entry("first", 1, 500*time.Millisecond),
		Entry("second", 2, time.Second),
		Entry("sixth", 6, 16*time.Second),
		Entry("seventh", 7, 30*time.Second),
		Entry("thousandth", 1000, 30*time.Second),
	)
})

var _ = Describe("loadLimit", func() {
	DescribeTable("is 1.25 times the average and at least one",
		func(inFlight, members, want int) { Expect(loadLimit(inFlight, members)).To(Equal(want)) },
		Entry("no requests in flight", 0, 4, 1),
		Entry("an average of 25", 99, 4, 32),
		Entry("one member", 9, 1, 13),
	)
})

var _ = Describe("choose", func() {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, 0))

	// chosen returns the name of the member that a pool of these members chooses, or ""
	// for none.
	chosen := func(w Request, members ...*member) granitehoist.Upstream {
		p := &servicePool{members: members, ring: newRing(members)}
		for _, m := range members {
			p.inFlight += m.inFlight
		}
		m := p.choose(w, random, now)
		if m == nil {
			return ""
		}
		return m.Name
	}
	free := func(name granitehoist.Upstream) *member { return &member{Target: Target{Name: name, Concurrency: 4}} }
	busy := func(name granitehoist.Upstream, inFlight int) *member {
		m := free(name)
		m.inFlight = inFlight
		return m
	}
	ejected := func(name granitehoist.Upstream) *member {
		m := free(name)
		m.ejectedUntil = now.Add(time.Millisecond)
		return m
	}
	draining := func(name granitehoist.Upstream) *member {
		m := free(name)
		m.draining = true
		return m
	}
	tried := map[granitehoist.Upstream]bool{"a": true}

	DescribeTable("returns the available member with the fewest requests",
		func(want granitehoist.Upstream, w Request, members ...*member) {
			Expect(chosen(w, members...)).To(Equal(want))
		},
		Entry("no members", granitehoist.Upstream(""), Request{}),
		Entry("the less loaded one", granitehoist.Upstream("b"), Request{}, busy("a", 2), busy("b", 1)),
		Entry("not a tried one", granitehoist.Upstream("b"), Request{Tried: tried}, free("a"), busy("b", 3)),
		Entry("not an ejected one", granitehoist.Upstream("b"), Request{}, ejected("a"), busy("b", 3)),
		Entry("not a draining one", granitehoist.Upstream("b"), Request{}, draining("a"), busy("b", 3)),
		Entry("none when all are full", granitehoist.Upstream(""), Request{}, busy("a", 4), busy("b", 4)),
		Entry("beyond the load bound when no member on the ring is within it", granitehoist.Upstream("b"), Request{Affinity: 1, Tried: tried}, free("a"), busy("b", 3)),
	)
})

var _ = Describe("A replacement pool", func() {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

	// acquire reserves a slot at one of the named upstreams.
	acquire := func(t *Table, names ...granitehoist.Upstream) *Slot {
		GinkgoHelper()
		w := Request{Service: "s"}
		for _, name := range names {
			w.Targets = append(w.Targets, Target{Name: name, Concurrency: 4})
		}
		slot, err := t.Acquire(context.Background(), w, now)
		Expect(err).NotTo(HaveOccurred())
		return slot
	}

	DescribeTable("counts the requests in flight at its own members only",
		func(next ...granitehoist.Upstream) {
			t := NewTable(Settings{})
			held := acquire(t, "a")
			other := acquire(t, next...)
			sum := 0
			for _, m := range t.pools["s"].members {
				sum += m.inFlight
			}
			Expect(t.pools["s"].inFlight).To(Equal(sum))
			held.Done(Succeeded, now)
			other.Done(Succeeded, now)
			Expect(t.pools["s"].inFlight).To(BeZero())
		},
		Entry("with an additional upstream", granitehoist.Upstream("a"), granitehoist.Upstream("b")),
		Entry("without an upstream that has a request in flight", granitehoist.Upstream("b")),
	)
})
