// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A prompt is heavy",
	func(prompt granitehoist.Tokens, tokensPerMS float64, allowed time.Duration, want bool) {
		Expect(isHeavy(prompt, tokensPerMS, allowed)).To(Equal(want))
	},
	Entry("if its prefill takes over a quarter of the allowed pause", granitehoist.Tokens(2000), 25.0, 300*time.Millisecond, true),
	Entry("not at a quarter", granitehoist.Tokens(1875), 25.0, 300*time.Millisecond, false),
	Entry("not without an allowed pause", granitehoist.Tokens(90_000), 25.0, time.Duration(0), false),
)

var _ = DescribeTable("An instance is slow",
	func(eventGap float64, before, want bool) { Expect(isSlow(eventGap, 20, before)).To(Equal(want)) },
	Entry("far above the median", 23.1, false, true),
	Entry("not a little above it", 22.9, false, false),
	Entry("a little above it, if it was slow before", 22.9, true, true),
	Entry("no longer near the median", 21.5, true, false),
	Entry("not while its event gap is unknown", 0.0, false, false),
)

var _ = Describe("A quantile", func() {
	It("approaches the quantile of the samples", func() {
		var q quantile
		for i := range 5000 {
			q.observe(float64(10+i%10), 0.3)
		}
		Expect(q.value).To(BeNumerically("~", 13, 1.5))
		Expect(q.hasSamples(2)).To(BeTrue())
	})

	It("is unknown with few samples", func() {
		var q quantile
		q.observe(1, 0.5)
		Expect(q.hasSamples(2)).To(BeFalse())
	})
})

var _ = Describe("A table with slow instances", func() {
	const pool = granitehoist.Service("pool")
	now := time.Unix(1000, 0)
	// newTable returns a table with observed streams at six instances, of which the first
	// two are slower by half.
	newTable := func() *Table {
		t := New(Settings{Seed: 1})
		for i := range 6 {
			t.Announce(Instance{ID: granitehoist.Upstream(fmt.Sprintf("i-%d", i)), Service: pool, Capacity: 64, Version: 1}, testTime)
			gap := 20 * time.Millisecond
			if i < 2 {
				gap = 30 * time.Millisecond
			}
			l := &Lease{Instance: t.instances[granitehoist.Upstream(fmt.Sprintf("i-%d", i))].Instance, table: t, state: t.service(pool).instances[i], service: t.service(pool), picked: now}
			for n := range minEventGaps + 1 {
				l.Events(1, now.Add(time.Duration(n+1)*gap))
			}
		}
		return t
	}
	pickMany := func(t *Table, q Query) map[granitehoist.Upstream]int {
		q.Service = pool
		picked := map[granitehoist.Upstream]int{}
		for range 300 {
			lease, err := t.Pick(q, now.Add(time.Minute))
			Expect(err).NotTo(HaveOccurred())
			picked[lease.ID]++
			lease.Done(Succeeded, now)
		}
		return picked
	}
	heavy := Query{PromptTokens: 20_000, MaxEventGap: 300 * time.Millisecond}

	It("keeps heavy prompts away from them", func() {
		picked := pickMany(newTable(), heavy)
		Expect(picked["i-0"] + picked["i-1"]).To(BeZero())
	})

	It("gives them most, but not all, of the other requests", func() {
		picked := pickMany(newTable(), Query{PromptTokens: 500, MaxEventGap: 300 * time.Millisecond})
		Expect(picked["i-0"] + picked["i-1"]).To(BeNumerically("~", 300*7.0/11, 40))
	})

	It("sends a heavy prompt there if no other instance is left", func() {
		t := newTable()
		q := heavy
		q.Tried = map[granitehoist.Upstream]bool{"i-2": true, "i-3": true, "i-4": true, "i-5": true}
		Expect(pickMany(t, q)).To(HaveLen(2))
	})

	It("sends hints that a new router uses until it has own observations", func() {
		observer := newTable()
		pickMany(observer, heavy)
		hints := observer.Hints()
		Expect(hints).To(HaveLen(1))
		fresh := New(Settings{Seed: 2})
		fresh.ApplyHints(hints)
		for i := range 6 {
			fresh.Announce(Instance{ID: granitehoist.Upstream(fmt.Sprintf("i-%d", i)), Service: pool, Version: 1}, testTime)
		}
		picked := pickMany(fresh, heavy)
		Expect(picked["i-0"] + picked["i-1"]).To(BeZero())
	})

	It("does not observe cold instances", func() {
		t := New(Settings{})
		t.Announce(Instance{ID: "i-0", Service: pool, ColdFor: time.Minute}, testTime)
		lease, err := t.Pick(Query{Service: pool}, now)
		Expect(err).NotTo(HaveOccurred())
		lease.Events(1, now)
		lease.Events(1, now.Add(time.Second))
		Expect(t.instances["i-0"].eventGap.samples).To(BeZero())
	})

	It("has no median without a known event gap", func() {
		Expect((&serviceState{}).medianEventGap()).To(Equal(math.Inf(1)))
	})
})
