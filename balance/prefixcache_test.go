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
		var m member
		for prefix := range uint64(maxRememberedPrefixes) {
			m.rememberPrefix(prefix+1, noon)
		}
		Expect(m.prefixSentAt).To(HaveLen(maxRememberedPrefixes))
		m.rememberPrefix(maxRememberedPrefixes+1, noon)
		Expect(m.prefixSentAt).To(HaveLen(1))
	})

	It("is cached for no query without one", func() {
		var m member
		Expect(m.prefixCached(&Query{}, &m, noon)).To(BeFalse())
		Expect(m.prefixCached(&Query{PrefixHash: 1}, &m, noon)).To(BeTrue())
		Expect(m.prefixCached(&Query{PrefixHash: 1}, nil, noon)).To(BeFalse())
	})
})
