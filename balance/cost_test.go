// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The cost of an instance", func() {
	DescribeTable("in milliseconds",
		func(l load, expected milliseconds) {
			Expect(l.cost()).To(Equal(expected))
		},
		Entry("is nothing without load", load{}, milliseconds(0)),
		Entry("of 50 tokens to read is one", load{unreadTokens: 50}, milliseconds(1)),
		Entry("counts queued tokens as its own", load{queuedTokens: 100, unreadTokens: 50}, milliseconds(3)),
		Entry("of a prefix away from its owner is half of its reading", load{unownedPrefixTokens: 1000}, milliseconds(10)),
		Entry("of a request in progress is four", load{inFlight: 2, capacity: 64}, milliseconds(8)),
		Entry("takes an unknown capacity for large", load{inFlight: 2}, milliseconds(8)),
		Entry("grows with small capacity", load{inFlight: 1, capacity: 4}, milliseconds(16)),
		Entry("does not grow at the bound of small capacity", load{inFlight: 1, capacity: smallCapacity}, milliseconds(4)),
		Entry("of constant failure is 400", load{failureRate: 1}, milliseconds(400)),
		Entry("of another zone is one", load{otherZone: true}, milliseconds(1)),
		Entry("holds the random part", load{tieBreak: 0.25}, milliseconds(0.25)),
		Entry("adds all of these", load{queuedTokens: 50, unreadTokens: 50, unownedPrefixTokens: 100, inFlight: 1, capacity: 8, failureRate: 0.5, otherZone: true, tieBreak: 0.5}, milliseconds(2+1+8+200+1+0.5)),
	)
})
