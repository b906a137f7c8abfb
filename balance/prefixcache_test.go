// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A prefix", func() {
	DescribeTable("is taken to be in an instance's cache",
		func(owner bool, sentAt time.Time, expected bool) {
			Expect(prefixCached(owner, sentAt, noon)).To(Equal(expected))
		},
		Entry("at its owner", true, time.Time{}, true),
		Entry("not where it was never sent", false, time.Time{}, false),
		Entry("where it was sent a moment ago", false, noon, true),
		Entry("nearly until the cache time ends", false, noon.Add(1-prefixCacheTime), true),
		Entry("not after the cache time", false, noon.Add(-prefixCacheTime), false),
	)

	It("is remembered, in a memory that starts anew when it is full", func() {
		var s instanceState
		for prefix := range uint64(maxRememberedPrefixes) {
			s.rememberPrefix(prefix+1, noon)
		}
		Expect(s.prefixSentAt).To(HaveLen(maxRememberedPrefixes))
		s.rememberPrefix(maxRememberedPrefixes+1, noon)
		Expect(s.prefixSentAt).To(HaveLen(1))
	})

	It("is cached for no query without one", func() {
		var s instanceState
		Expect(s.cachesPrefix(&Query{}, &s, noon)).To(BeFalse())
		Expect(s.cachesPrefix(&Query{PrefixHash: 1}, &s, noon)).To(BeTrue())
		Expect(s.cachesPrefix(&Query{PrefixHash: 1}, nil, noon)).To(BeFalse())
	})
})
