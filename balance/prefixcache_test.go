// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A prefix", func() {
	DescribeTable("is assumed to be cached by an instance",
		func(owner bool, sentAt time.Time, expected bool) {
			Expect(prefixCached(owner, sentAt, testTime)).To(Equal(expected))
		},
		Entry("at its owner", true, time.Time{}, true),
		Entry("not where it was never sent", false, time.Time{}, false),
		Entry("where it was just sent", false, testTime, true),
		Entry("just before the cache time ends", false, testTime.Add(1-prefixCacheTime), true),
		Entry("not after the cache time", false, testTime.Add(-prefixCacheTime), false),
	)

	It("is remembered until the records reach their maximum and are dropped", func() {
		var s instanceState
		for prefix := range uint64(maxRememberedPrefixes) {
			s.rememberPrefix(prefix+1, testTime)
		}
		Expect(s.prefixSentAt).To(HaveLen(maxRememberedPrefixes))
		s.rememberPrefix(maxRememberedPrefixes+1, testTime)
		Expect(s.prefixSentAt).To(HaveLen(1))
	})

	It("is never cached for a query without one", func() {
		var s instanceState
		Expect(s.cachesPrefix(&Query{}, &s, testTime)).To(BeFalse())
		Expect(s.cachesPrefix(&Query{PrefixHash: 1}, &s, testTime)).To(BeTrue())
		Expect(s.cachesPrefix(&Query{PrefixHash: 1}, nil, testTime)).To(BeFalse())
	})
})
