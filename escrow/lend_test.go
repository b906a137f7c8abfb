// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A loan",
	func(l lending, expected granitehoist.Tokens) {
		Expect(l.loan()).To(Equal(expected))
	},
	Entry("is what is wanted", lending{free: 100, need: 20, want: 40}, granitehoist.Tokens(40)),
	Entry("is at most half of what is free", lending{free: 100, need: 20, want: 90}, granitehoist.Tokens(50)),
	Entry("is all that is needed if there is that much", lending{free: 100, need: 100, want: 100}, granitehoist.Tokens(100)),
	Entry("is half of what is free if that is not enough", lending{free: 100, need: 101, want: 200}, granitehoist.Tokens(50)),
	Entry("is nothing while own requests wait", lending{free: 100, need: 20, want: 40, waiting: true}, granitehoist.Tokens(0)),
	Entry("is nothing at a stop", lending{free: 100, need: 20, want: 40, closing: true}, granitehoist.Tokens(0)),
	Entry("is nothing if nothing is free", lending{free: 0, need: 20, want: 40}, granitehoist.Tokens(0)),
	Entry("is nothing if tokens are owed", lending{free: -50, need: 20, want: 40}, granitehoist.Tokens(0)),
	Entry("is nothing if nothing is needed", lending{free: 100, need: 0, want: 40}, granitehoist.Tokens(0)),
	Entry("is what is needed of one who wants less than that", lending{free: 100, need: 20, want: -40}, granitehoist.Tokens(20)),
	Entry("is never negative", lending{free: 10, need: 20, want: -40}, granitehoist.Tokens(0)),
)

var _ = DescribeTable("What is repaid of a budget of 100,000 tokens",
	func(free, target, expected granitehoist.Tokens) {
		Expect(surplusOf(free, target, 100_000)).To(Equal(expected))
	},
	Entry("is nothing up to twice the target", granitehoist.Tokens(2_000), granitehoist.Tokens(1_000), granitehoist.Tokens(0)),
	Entry("is what is beyond the target above that", granitehoist.Tokens(2_001), granitehoist.Tokens(1_000), granitehoist.Tokens(1_001)),
	Entry("is nothing if it is little", granitehoist.Tokens(50), granitehoist.Tokens(0), granitehoist.Tokens(0)),
	Entry("is everything at a stop, if it is more", granitehoist.Tokens(51), granitehoist.Tokens(0), granitehoist.Tokens(51)),
)

var _ = DescribeTable("What a router behind relays asks for",
	func(s shortageInputs, expected shortage) {
		Expect(s.forHolding()).To(Equal(expected))
	},
	Entry("is nothing if the holding is not low", shortageInputs{unreserved: 75, target: 100, rate: 7}, shortage{}),
	Entry("fills a low holding", shortageInputs{unreserved: 74, target: 100, rate: 7}, shortage{need: 1, want: 26, rate: 7, idle: 74}),
	Entry("serves requests and fills the holding", shortageInputs{unreserved: 90, target: 100, waiting: 50, rate: 7}, shortage{need: 50, want: 60, rate: 7, idle: 90, waiting: true}),
	Entry("needs no more than it wants", shortageInputs{unreserved: 90, target: 50, waiting: 60}, shortage{need: 20, want: 20, idle: 90, waiting: true}),
	Entry("wants one token at least for requests", shortageInputs{unreserved: 90, target: 0, waiting: 60}, shortage{need: 1, want: 1, idle: 90, waiting: true}),
	Entry("counts tokens that are owed as none", shortageInputs{unreserved: -20, target: 100}, shortage{need: 1, want: 100}),
	Entry("is nothing while the limit is not settled", shortageInputs{target: 100, waiting: 50, frozen: true}, shortage{}),
)

var _ = DescribeTable("What a router asks for while requests wait and the store does not help",
	func(c conditions, s shortageInputs, expected shortage) {
		Expect(s.forWaiters(c)).To(Equal(expected))
	},
	Entry("is what the smallest lacks, and all with 2 s of spending", settled(), shortageInputs{unreserved: 10, smallest: 30, waiting: 80, rate: 7}, shortage{need: 20, want: 84, rate: 7, idle: 10, waiting: true}),
	Entry("is without the spending after an outage", afterOutage(), shortageInputs{unreserved: 10, smallest: 30, waiting: 80, rate: 7}, shortage{need: 20, want: 70, rate: 7, idle: 10, waiting: true}),
	Entry("is one token at least", afterOutage(), shortageInputs{unreserved: 100, smallest: 30, waiting: 80}, shortage{need: 1, want: 1, idle: 100, waiting: true}),
)

var _ = Describe("A call to a lender", func() {
	It("is shorter while requests wait", func() {
		Expect(shortage{waiting: true}.timeout()).To(Equal(lendTimeout))
		Expect(shortage{}.timeout()).To(Equal(replenishTimeout))
	})
})

var _ = Describe("The neighbours that are asked", func() {
	near, far := granitehoist.Peer{Address: "near"}, granitehoist.Peer{Address: "far"}
	all := []granitehoist.Peer{near, far}

	It("are all that did answer of late, in their order", func() {
		Expect(answering(all, nil, at)).To(Equal(all))
		Expect(answering(all, map[string]time.Time{"near": at}, at)).To(Equal([]granitehoist.Peer{far}))
		Expect(answering(all, map[string]time.Time{"near": ago(1)}, at)).To(Equal(all))
	})

	It("are all if none answered of late", func() {
		Expect(answering(all, map[string]time.Time{"near": at, "far": at}, at)).To(Equal(all))
	})
})
