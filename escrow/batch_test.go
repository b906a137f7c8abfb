// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A packet",
	func(perSecond, mean float64, expected granitehoist.Tokens) {
		Expect(batchSizeFor(perSecond, mean)).To(Equal(expected))
	},
	Entry("is 2 s of the spending", 10_000.0, 1_000.0, granitehoist.Tokens(20_000)),
	Entry("is none for fewer than four requests", 1_999.0, 1_000.0, granitehoist.Tokens(0)),
	Entry("is one for four", 2_000.0, 1_000.0, granitehoist.Tokens(4_000)),
	Entry("is none before there was a request", 0.0, 0.0, granitehoist.Tokens(0)),
)

var _ = Describe("A router with many requests of a workspace", func() {
	const desk = granitehoist.Workspace("desk")
	var l *Ledger
	BeforeEach(func() {
		l = NewLedger(LedgerSettings{Incarnation: "a1", Role: func(Shard) Role { return Asks }})
		l.SetLimit(desk, 1_000_000)
		l.Borrowed(desk, "k1", LendResult{Total: 100_000}, testNow)
		for i := range 100 {
			now := testNow.Add(time.Duration(i) * 20 * time.Millisecond)
			Expect(l.Reserve(desk, 500, granitehoist.MaxPriority, now)).To(BeTrue())
			l.Settle(desk, 500, 500, now)
		}
	})
	later := testNow.Add(2 * time.Second)

	It("asks for the next packet once, before the last is used up", func() {
		_, needed := l.startRefill(desk, later)
		Expect(needed).To(BeFalse(), "it has 50,000 tokens, a packet")
		Expect(l.Reserve(desk, 30_000, granitehoist.MaxPriority, later)).To(BeTrue())
		request, needed := l.startRefill(desk, later)
		Expect(needed).To(BeTrue())
		Expect(request.want).To(BeNumerically(">", 20_000))
		_, needed = l.startRefill(desk, later)
		Expect(needed).To(BeFalse())
		l.endRefill(desk)
		_, needed = l.startRefill(desk, later)
		Expect(needed).To(BeTrue())
	})

	It("gives back what is beyond two packets", func() {
		l.Borrowed(desk, "k1", LendResult{Total: 400_000}, later)
		found := l.surpluses(100, later)
		Expect(found).To(HaveLen(1))
		Expect(l.State(desk).Free - found[0].tokens).To(BeNumerically("~", 100_000, 20_000))
	})
})
