// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var testTime = time.Unix(1000, 0)

// newInstance returns a live instance, modified by change unless that is nil.
func newInstance(id granitehoist.Upstream, change func(*instanceState)) *instanceState {
	s := &instanceState{Instance: Instance{ID: id}}
	if change != nil {
		change(s)
	}
	return s
}

func ejectedFor(d time.Duration) func(*instanceState) {
	return func(s *instanceState) { s.ejectedUntil = testTime.Add(d) }
}

func removedSince(d time.Duration) func(*instanceState) {
	return func(s *instanceState) { s.removedAt = testTime.Add(-d) }
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

	DescribeTable("include or exclude an instance",
		func(id granitehoist.Upstream, change func(*instanceState), expected eligibility) {
			Expect(newInstance(id, change).eligibility(&constraints{now: testTime, tried: tried})).To(Equal(expected))
		},
		Entry("announced", granitehoist.Upstream("a"), nil, live),
		Entry("tried before", granitehoist.Upstream("tried"), nil, excluded),
		Entry("draining", granitehoist.Upstream("a"), draining, excluded),
		Entry("ejected", granitehoist.Upstream("a"), ejectedFor(time.Millisecond), ejected),
		Entry("whose ejection ends now", granitehoist.Upstream("a"), ejectedFor(0), live),
		Entry("removed now", granitehoist.Upstream("a"), removedSince(0), removed),
		Entry("removed just under the grace period ago", granitehoist.Upstream("a"), removedSince(removedGrace-1), removed),
		Entry("removed the grace period ago", granitehoist.Upstream("a"), removedSince(removedGrace), excluded),
		Entry("tried and removed", granitehoist.Upstream("tried"), removedSince(0), excluded),
	)

	DescribeTable("are",
		func(instances []*instanceState, expected ...granitehoist.Upstream) {
			selected := candidates(instances, &constraints{now: testTime, tried: tried})
			Expect(selected.deferred).To(BeEmpty())
			Expect(idsOf(selected.choices)).To(Equal(append([]granitehoist.Upstream{}, expected...)))
		},
		Entry("none without instances", nil),
		Entry("none if all are excluded", []*instanceState{newInstance("tried", nil), newInstance("b", draining)}),
		Entry("all live instances, in order, and no others", []*instanceState{
			newInstance("c", nil), newInstance("b", ejectedFor(time.Second)), newInstance("a", nil), newInstance("d", removedSince(0)),
		}, granitehoist.Upstream("c"), granitehoist.Upstream("a")),
		Entry("the instance whose ejection ends first if none is live", []*instanceState{
			newInstance("a", ejectedFor(3*time.Second)), newInstance("b", ejectedFor(time.Second)),
			newInstance("c", ejectedFor(2*time.Second)), newInstance("d", removedSince(0)),
		}, granitehoist.Upstream("b")),
		Entry("the first of several instances whose ejections end together", []*instanceState{
			newInstance("a", ejectedFor(time.Second)), newInstance("b", ejectedFor(time.Second)),
		}, granitehoist.Upstream("a")),
		Entry("recently removed instances as a last resort", []*instanceState{
			newInstance("a", removedSince(time.Second)), newInstance("b", removedSince(removedGrace)), newInstance("c", removedSince(0)),
		}, granitehoist.Upstream("a"), granitehoist.Upstream("c")),
	)
})
