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

var _ = Describe("evidence", func() {
	member := fleet.Member{Box: "a", Incarnation: "a-1"}
	live := map[granitehoist.Incarnation]bool{"a-1": true}

	DescribeTable("decides whether a router may still serve",
		func(e servingEvidence, want bool) { Expect(e.mayServe(member)).To(Equal(want)) },
		Entry("its lease stands and its box is not listed", servingEvidence{live: live, boxes: map[granitehoist.Box]bool{"b": false}}, true),
		Entry("its lease has ended and its box is listed", servingEvidence{boxes: map[granitehoist.Box]bool{"a": false}}, true),
		Entry("its lease has ended and its box is leaving", servingEvidence{boxes: map[granitehoist.Box]bool{"a": true}}, true),
		Entry("its lease has ended and there is no list", servingEvidence{}, true),
		Entry("its lease has ended and the list has other boxes only", servingEvidence{boxes: map[granitehoist.Box]bool{"b": false}}, false),
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
		Entry("in force everywhere", stored, true, nil, memberSerial{"a", 3}, memberSerial{"b", 3}),
		Entry("a newer one in force", stored, true, nil, memberSerial{"a", 4}),
		Entry("an older one in force at a router", stored, false, []granitehoist.Box{"b"}, memberSerial{"a", 3}, memberSerial{"b", 2}),
		Entry("a router that can't be asked", stored, false, []granitehoist.Box{"b"}, memberSerial{"a", 3}, memberSerial{"b", 0}),
		Entry("nothing stored", config.Current{}, false, nil, memberSerial{"a", 0}),
	)
})

var _ = Describe("leavingUpstreams", func() {
	offers := []*config.Offer{{Upstreams: []config.Upstream{{Name: "u1", Box: "a"}, {Name: "u2", Box: "b"}, {Name: "u3"}}}}

	DescribeTable("decides which upstreams get no new requests",
		func(boxes map[granitehoist.Box]bool, want map[granitehoist.Upstream]bool) {
			Expect(leavingUpstreams(offers, boxes)).To(Equal(want))
		},
		Entry("no box leaves", map[granitehoist.Box]bool{"a": false, "b": false}, map[granitehoist.Upstream]bool{}),
		Entry("a box leaves", map[granitehoist.Box]bool{"a": true, "b": false}, map[granitehoist.Upstream]bool{"u1": true}),
		Entry("a box is not listed", map[granitehoist.Box]bool{"": true}, map[granitehoist.Upstream]bool{}),
	)
})
