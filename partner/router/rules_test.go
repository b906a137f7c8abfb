// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/config"
)

var _ = Describe("servingEvidence", func() {
	member := fleet.Member{Box: "a", Incarnation: "a-1"}
	live := map[granitehoist.Incarnation]bool{"a-1": true}

	DescribeTable("decides whether a router may still be serving",
		func(e servingEvidence, want bool) { Expect(e.mayServe(member)).To(Equal(want)) },
		Entry("valid lease, box not listed", servingEvidence{live: live, boxes: map[granitehoist.Box]bool{"b": false}}, true),
		Entry("expired lease, box listed", servingEvidence{boxes: map[granitehoist.Box]bool{"a": false}}, true),
		Entry("expired lease, box leaving", servingEvidence{boxes: map[granitehoist.Box]bool{"a": true}}, true),
		Entry("expired lease, no list", servingEvidence{}, true),
		Entry("expired lease, only other boxes listed", servingEvidence{boxes: map[granitehoist.Box]bool{"b": false}}, false),
	)
})

var _ = Describe("newDocumentState", func() {
	stored := config.Current{Version: 7, Signed: config.Signed{Serial: 3}}

	DescribeTable("decides whether a document is accepted",
		func(current config.Current, accepted bool, waiting []granitehoist.Box, serials ...memberSerial) {
			state := newDocumentState("tuul", current, serials)
			Expect(state.Accepted).To(Equal(accepted))
			Expect(state.Waiting).To(ConsistOf(waiting))
			Expect(len(state.InForce) + len(state.Waiting)).To(Equal(len(serials)))
		},
		Entry("in force at all routers", stored, true, nil, memberSerial{"a", 3}, memberSerial{"b", 3}),
		Entry("newer document in force", stored, true, nil, memberSerial{"a", 4}),
		Entry("older document in force at one router", stored, false, []granitehoist.Box{"b"}, memberSerial{"a", 3}, memberSerial{"b", 2}),
		Entry("unreachable router", stored, false, []granitehoist.Box{"b"}, memberSerial{"a", 3}, memberSerial{"b", 0}),
		Entry("no stored document", config.Current{}, false, nil, memberSerial{"a", 0}),
	)
})

var _ = Describe("leavingUpstreams", func() {
	offers := []*config.Offer{{Upstreams: []config.Upstream{{Name: "u1", Box: "a"}, {Name: "u2", Box: "b"}, {Name: "u3"}}}}

	DescribeTable("decides which upstreams get no new requests",
		func(boxes map[granitehoist.Box]bool, want map[granitehoist.Upstream]bool) {
			Expect(leavingUpstreams(offers, boxes)).To(Equal(want))
		},
		Entry("no box leaving", map[granitehoist.Box]bool{"a": false, "b": false}, map[granitehoist.Upstream]bool{}),
		Entry("one box leaving", map[granitehoist.Box]bool{"a": true, "b": false}, map[granitehoist.Upstream]bool{"u1": true}),
		Entry("upstream without a box", map[granitehoist.Box]bool{"": true}, map[granitehoist.Upstream]bool{}),
	)
})
