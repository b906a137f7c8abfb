// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var testRegions = map[granitehoist.AvailabilityZone]granitehoist.Region{
	"near-a": "near", "near-b": "near", "far-a": "far", "far-b": "far",
}

// regionTable returns a table in zone near-a with the given number of instances per zone
// of testRegions, which are named like their zones.
func regionTable(perZone int, s Settings) *Table {
	s.Zone, s.Seed = "near-a", 1
	t := New(s)
	for _, zone := range []granitehoist.AvailabilityZone{"near-a", "near-b", "far-a", "far-b"} {
		for i := range perZone {
			id := granitehoist.Upstream(fmt.Sprintf("%s-%d", zone, i))
			t.Announce(Instance{ID: id, Service: "pool", Zone: zone, Capacity: 64, Version: 1}, testTime)
		}
	}
	return t
}

// A router that misjudges distances sends requests over long links for no gain, or takes
// load on an upstream for distance.
var _ = Describe("The distance to a zone", func() {
	const zone = granitehoist.AvailabilityZone("far-a")
	var l locality
	BeforeEach(func() {
		l = newLocality(Settings{Zone: "near-a", Regions: testRegions})
	})

	It("is that of the settings until it is measured", func() {
		Expect(l.delay("near-a", 1)).To(Equal(milliseconds(0)))
		Expect(l.delay("near-b", 2)).To(Equal(milliseconds(crossZoneMS)))
		l.observe(zone, 60*time.Millisecond, testTime)
		l.observe(zone, 60*time.Millisecond, testTime)
		Expect(l.delay(zone, 2)).To(Equal(milliseconds(100)))
	})
	It("is the least of the round trips measured", func() {
		for _, ms := range []time.Duration{90, 60, 400, 75} {
			l.observe(zone, ms*time.Millisecond, testTime)
		}
		Expect(l.delay(zone, 0)).To(Equal(milliseconds(60)))
		Expect(l.delay(zone, 2)).To(Equal(milliseconds(120)))
		Expect(l.delay("far-b", 1)).To(Equal(milliseconds(50)))
	})
	It("follows a longer route after two windows", func() {
		for i := range 30 {
			l.observe(zone, 60*time.Millisecond, testTime.Add(time.Duration(i)*time.Millisecond))
		}
		for i := range 21 {
			l.observe(zone, 80*time.Millisecond, testTime.Add(time.Duration(i)*time.Second))
		}
		Expect(l.delay(zone, 1)).To(Equal(milliseconds(80)))
	})
	It("ignores samples that are not positive", func() {
		l.observe(zone, 0, testTime)
		Expect(l.delay(zone, 1)).To(Equal(milliseconds(50)))
	})
	It("includes the penalty of another region only", func() {
		l = newLocality(Settings{Zone: "near-a", Regions: testRegions, CrossRegionPenalty: 20 * time.Millisecond})
		Expect(l.delay("near-b", 1)).To(Equal(milliseconds(crossZoneMS)))
		Expect(l.delay(zone, 1)).To(Equal(milliseconds(70)))
	})
	It("counts unknown zones as near", func() {
		Expect(l.delay("elsewhere", 1)).To(Equal(milliseconds(crossZoneMS)))
		l = newLocality(Settings{Regions: testRegions})
		Expect(l.delay("near-a", 1)).To(Equal(milliseconds(crossZoneMS)))
	})
	It("is measured on connections of a lease to another region only", func() {
		t := regionTable(1, Settings{Regions: testRegions})
		for _, s := range t.service("pool").instances {
			lease := t.newLease(s, &Query{}, nil, testTime)
			lease.service = t.service("pool")
			lease.ObserveConnect(40*time.Millisecond, testTime)
			lease.Done(Succeeded, testTime)
		}
		Expect(t.locality.roundTrips).To(HaveLen(2))
		Expect(t.locality.roundTrips).To(HaveKey(zone))
	})
})

// With one region the choices and the random draws are those of a table without regions.
var _ = Describe("A table with one region", func() {
	It("chooses as one without regions, whatever it measures", func() {
		one := map[granitehoist.AvailabilityZone]granitehoist.Region{"near-a": "x", "near-b": "x", "far-a": "x", "far-b": "x"}
		plain := regionTable(5, Settings{})
		single := regionTable(5, Settings{Regions: one, CrossRegionPenalty: time.Second})
		draws := rand.New(rand.NewPCG(7, 1))
		for i := range 400 {
			now := testTime.Add(time.Duration(i) * 10 * time.Millisecond)
			q := Query{Service: "pool", RoundTrips: 1 + i%2, PromptTokens: granitehoist.Tokens(draws.IntN(20000)), MaxEventGap: 250 * time.Millisecond}
			if i%3 == 0 {
				q.PrefixHash, q.PrefixTokens = uint64(1+draws.IntN(40)), q.PromptTokens/2
			}
			a, err := plain.Pick(q, now)
			Expect(err).NotTo(HaveOccurred())
			q.RoundTrips = 0
			b, err := single.Pick(q, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(b.ID).To(Equal(a.ID))
			Expect(b.PrefixOwner).To(Equal(a.PrefixOwner))
			b.ObserveConnect(time.Second, now)
			result := []Result{Succeeded, Refused, Broken}[draws.IntN(3)]
			end := now.Add(time.Duration(draws.IntN(3000)) * time.Millisecond)
			for _, lease := range []*Lease{a, b} {
				lease.Events(1, end)
				if i%4 > 0 {
					lease.Done(result, end)
				}
			}
		}
		Expect(single.random.Float64()).To(Equal(plain.random.Float64()))
	})
})

// Reading a shared prefix again in every region costs more than the way if the prefix is
// long; and each change of an owner reads its prefix again.
var _ = Describe("The owner of a prefix with several regions", func() {
	const long, short = granitehoist.Tokens(20_000), granitehoist.Tokens(500)
	var t *Table
	BeforeEach(func() { t = regionTable(5, Settings{Regions: testRegions}) })

	// owners returns the owner of each of many prefixes with the given length.
	owners := func(length granitehoist.Tokens) []*instanceState {
		var all []*instanceState
		selected := candidates(t.service("pool").instances, &constraints{now: testTime.Add(removedGrace)})
		for hash := uint64(1); hash <= 200; hash++ {
			q := &Query{PrefixHash: hash, PrefixTokens: length, PromptTokens: length}
			all = append(all, t.prefixOwner(selected.choices, q, promptTokensPerMS))
		}
		return all
	}
	isFar := func(s *instanceState) bool { return s.Zone == "far-a" || s.Zone == "far-b" }
	// remove removes the instances for which f holds and returns those whose prefixes must
	// keep their owners.
	remove := func(f func(*instanceState) bool) func(*instanceState) bool {
		for _, s := range t.service("pool").instances {
			if f(s) {
				t.Remove(s.ID, testTime)
			}
		}
		return func(s *instanceState) bool { return !f(s) }
	}
	expectKept := func(before, after []*instanceState, kept func(*instanceState) bool) {
		GinkgoHelper()
		for i, owner := range before {
			if kept(owner) {
				Expect(after[i].ID).To(Equal(owner.ID))
			}
		}
	}

	It("lies in the own region for a short prefix and in any for a long one", func() {
		Expect(owners(short)).NotTo(ContainElement(Satisfy(isFar)))
		Expect(owners(long)).To(ContainElement(Satisfy(isFar)))
		expectKept(owners(long), owners(short), func(s *instanceState) bool { return !isFar(s) })
	})
	It("changes only for the prefixes of the instances that a failing region loses", func() {
		before, beforeShort := owners(long), owners(short)
		kept := remove(isFar)
		expectKept(before, owners(long), kept)
		expectKept(beforeShort, owners(short), kept)
		Expect(owners(long)).NotTo(ContainElement(Satisfy(isFar)))
	})
	It("lies in another region if the own one has no instance left", func() {
		before := owners(long)
		kept := remove(func(s *instanceState) bool { return !isFar(s) })
		expectKept(before, owners(long), kept)
		Expect(owners(short)).To(HaveEach(Satisfy(isFar)))
	})
})
