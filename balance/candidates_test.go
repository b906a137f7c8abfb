// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var noon = time.Unix(1000, 0)

// announced returns an instance that is live unless change does something to it.
func announced(id granitehoist.Upstream, change func(*instanceState)) *instanceState {
	s := &instanceState{Instance: Instance{ID: id}}
	if change != nil {
		change(s)
	}
	return s
}

func ejectedFor(d time.Duration) func(*instanceState) {
	return func(s *instanceState) { s.ejectedUntil = noon.Add(d) }
}

func removedSince(d time.Duration) func(*instanceState) {
	return func(s *instanceState) { s.removedAt = noon.Add(-d) }
}

func draining(s *instanceState) { s.Draining = true }

func idsOf(instances []*instanceState) []granitehoist.Upstream {
	ids := []granitehoist.Upstream{}
	for _, s := range instances {
		ids = append(ids, s.ID)
	}
	return ids
}

var _ = Describe("The candidates of an attempt", func() {
	tried := map[granitehoist.Upstream]bool{"tried": true}

	DescribeTable("of one instance",
		func(id granitehoist.Upstream, change func(*instanceState), expected eligibility) {
			Expect(announced(id, change).eligibility(constraints{now: noon, tried: tried})).To(Equal(expected))
		},
		Entry("announced", granitehoist.Upstream("a"), nil, live),
		Entry("tried before", granitehoist.Upstream("tried"), nil, excluded),
		Entry("draining", granitehoist.Upstream("a"), draining, excluded),
		Entry("ejected", granitehoist.Upstream("a"), ejectedFor(time.Millisecond), ejected),
		Entry("whose ejection ends now", granitehoist.Upstream("a"), ejectedFor(0), live),
		Entry("removed now", granitehoist.Upstream("a"), removedSince(0), removed),
		Entry("removed nearly a grace ago", granitehoist.Upstream("a"), removedSince(removedGrace-1), removed),
		Entry("removed a grace ago", granitehoist.Upstream("a"), removedSince(removedGrace), excluded),
		Entry("tried and removed", granitehoist.Upstream("tried"), removedSince(0), excluded),
	)

	DescribeTable("are",
		func(instances []*instanceState, expected ...granitehoist.Upstream) {
			selected := candidates(instances, constraints{now: noon, tried: tried})
			Expect(selected.later).To(BeEmpty())
			Expect(idsOf(selected.choices)).To(Equal(append([]granitehoist.Upstream{}, expected...)))
		},
		Entry("none of no instances", nil),
		Entry("none if all are excluded", []*instanceState{announced("tried", nil), announced("b", draining)}),
		Entry("all live ones, in order, and no others", []*instanceState{
			announced("c", nil), announced("b", ejectedFor(time.Second)), announced("a", nil), announced("d", removedSince(0)),
		}, granitehoist.Upstream("c"), granitehoist.Upstream("a")),
		Entry("the ejected one that ends first if none is live", []*instanceState{
			announced("a", ejectedFor(3*time.Second)), announced("b", ejectedFor(time.Second)),
			announced("c", ejectedFor(2*time.Second)), announced("d", removedSince(0)),
		}, granitehoist.Upstream("b")),
		Entry("the first of ejected ones that end together", []*instanceState{
			announced("a", ejectedFor(time.Second)), announced("b", ejectedFor(time.Second)),
		}, granitehoist.Upstream("a")),
		Entry("those removed a moment ago as a last resort", []*instanceState{
			announced("a", removedSince(time.Second)), announced("b", removedSince(removedGrace)), announced("c", removedSince(0)),
		}, granitehoist.Upstream("a"), granitehoist.Upstream("c")),
	)
})
