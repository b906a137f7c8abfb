// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("The rules of a catalog", func() {
	DescribeTable("replace the snapshot in force",
		func(old *Snapshot, version granitehoist.Version, expected bool) {
			Expect((&Snapshot{Version: version}).supersedes(old)).To(Equal(expected))
		},
		Entry("by the first", nil, granitehoist.Version(0), true),
		Entry("by a newer one", &Snapshot{Version: 7}, granitehoist.Version(8), true),
		Entry("by a newer one of an older revision", &Snapshot{Version: 7, Revision: 9}, granitehoist.Version(8), true),
		Entry("not by the same", &Snapshot{Version: 7}, granitehoist.Version(7), false),
		Entry("not by an older one", &Snapshot{Version: 7}, granitehoist.Version(6), false),
	)

	DescribeTable("split a route by weight",
		func(split []Share, point float64, expected granitehoist.Service) {
			Expect((&Route{Split: split}).PickService(point)).To(Equal(expected))
		},
		Entry("at the begin of the first part", []Share{{"a", 1}, {"b", 3}}, 0.0, granitehoist.Service("a")),
		Entry("at the begin of the second part", []Share{{"a", 1}, {"b", 3}}, 0.25, granitehoist.Service("b")),
		Entry("past a part of weight zero", []Share{{"a", 0}, {"b", 1}}, 0.0, granitehoist.Service("b")),
		Entry("with the last service if all weights are zero", []Share{{"a", 0}, {"b", 0}}, 0.5, granitehoist.Service("b")),
	)

	DescribeTable("let a request run once more",
		func(r Route, runs int, expected bool) {
			Expect(r.MayRunAgain(runs)).To(Equal(expected))
		},
		Entry("below the route's attempts", Route{Kind: Safe, MaxAttempts: 2}, 1, true),
		Entry("not at the route's attempts", Route{Kind: Safe, MaxAttempts: 2}, 2, false),
		Entry("not without stated attempts", Route{Kind: Safe}, 1, false),
		Entry("without stated attempts if it did not run", Route{Kind: Safe}, 0, true),
		Entry("not if it runs at most once", Route{Kind: Unsafe, MaxAttempts: 2}, 1, false),
		Entry("if it is a stream that may be resumed", Route{Kind: Stream, Resume: true, MaxAttempts: 2}, 1, true),
		Entry("not if it is another stream", Route{Kind: Stream, MaxAttempts: 2}, 1, false),
	)

	DescribeTable("compare hosts",
		func(host, expected string) {
			Expect(canonicalHost(host)).To(Equal(expected))
		},
		Entry("without port and case", "H.Example:8080", "h.example"),
		Entry("as they are", "h.example", "h.example"),
		Entry("that are IPv6 addresses with a port", "[::1]:80", "[::1]"),
		Entry("that are IPv6 addresses without", "[::1]", "[::1]"),
	)
})
