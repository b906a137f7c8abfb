// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("Catalog rules", func() {
	DescribeTable("replace the active snapshot",
		func(old *Snapshot, version granitehoist.Version, expected bool) {
			Expect((&Snapshot{Version: version}).supersedes(old)).To(Equal(expected))
		},
		Entry("by the first one", nil, granitehoist.Version(0), true),
		Entry("by a newer one", &Snapshot{Version: 7}, granitehoist.Version(8), true),
		Entry("by a newer version of an older revision", &Snapshot{Version: 7, Revision: 9}, granitehoist.Version(8), true),
		Entry("not by one of the same version", &Snapshot{Version: 7}, granitehoist.Version(7), false),
		Entry("not by an older one", &Snapshot{Version: 7}, granitehoist.Version(6), false),
	)

	DescribeTable("split a route by weight",
		func(split []Share, point float64, expected granitehoist.Service) {
			Expect((&Route{Split: split}).PickService(point)).To(Equal(expected))
		},
		Entry("at the start of the first share", []Share{{"a", 1}, {"b", 3}}, 0.0, granitehoist.Service("a")),
		Entry("at the start of the second share", []Share{{"a", 1}, {"b", 3}}, 0.25, granitehoist.Service("b")),
		Entry("past a share of weight zero", []Share{{"a", 0}, {"b", 1}}, 0.0, granitehoist.Service("b")),
		Entry("with the last service if all weights are zero", []Share{{"a", 0}, {"b", 0}}, 0.5, granitehoist.Service("b")),
	)

	DescribeTable("allow another attempt",
		func(r Route, runs int, expected bool) {
			Expect(r.MayRunAgain(runs)).To(Equal(expected))
		},
		Entry("below MaxAttempts", Route{Kind: Safe, MaxAttempts: 2}, 1, true),
		Entry("not at MaxAttempts", Route{Kind: Safe, MaxAttempts: 2}, 2, false),
		Entry("not without MaxAttempts", Route{Kind: Safe}, 1, false),
		Entry("without MaxAttempts if it did not run", Route{Kind: Safe}, 0, true),
		Entry("not if it runs at most once", Route{Kind: Unsafe, MaxAttempts: 2}, 1, false),
		Entry("if it is a resumable stream", Route{Kind: Stream, Resume: true, MaxAttempts: 2}, 1, true),
		Entry("not if it is a stream that is not resumable", Route{Kind: Stream, MaxAttempts: 2}, 1, false),
	)

	DescribeTable("canonicalize hosts",
		func(host, expected string) {
			Expect(canonicalHost(host)).To(Equal(expected))
		},
		Entry("with port and upper case", "H.Example:8080", "h.example"),
		Entry("in canonical form", "h.example", "h.example"),
		Entry("that are IPv6 addresses with a port", "[::1]:80", "[::1]"),
		Entry("that are IPv6 addresses without a port", "[::1]", "[::1]"),
	)
})
