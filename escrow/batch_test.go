// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A batch",
	func(perSecond, mean float64, expected granitehoist.Tokens) {
		Expect(batchSizeFor(perSecond, mean)).To(Equal(expected))
	},
	Entry("is 2 s of the spending", 10_000.0, 1_000.0, granitehoist.Tokens(20_000)),
	Entry("is zero for fewer than four requests", 1_999.0, 1_000.0, granitehoist.Tokens(0)),
	Entry("covers four requests", 2_000.0, 1_000.0, granitehoist.Tokens(4_000)),
	Entry("is zero before the first request", 0.0, 0.0, granitehoist.Tokens(0)),
)

var _ = Describe("A borrower with many requests of a workspace", func() {
	const testWorkspace = granitehoist.Workspace("desk")
	var l *Ledger
	BeforeEach(func() {
		l = NewLedger(LedgerSettings{Incarnation: "a1", Role: func(Shard) Role { return RoleBorrower }})
		l.SetLimit(testWorkspace, 1_000_000)
		l.RecordLoan(testWorkspace, "k1", LendResult{Total: 100_000}, testNow)
		for i := range 100 {
			now := testNow.Add(time.Duration(i) * 20 * time.Millisecond)
			Expect(l.Reserve(testWorkspace, 500, granitehoist.MaxPriority, now)).To(BeTrue())
			l.Settle(testWorkspace, 500, 500, now)
		}
	})
	later := testNow.Add(2 * time.Second)

	It("borrows the next batch once, before the last is used up", func() {
		_, needed := l.startRefill(testWorkspace, later)
		Expect(needed).To(BeFalse(), "it has 50,000 tokens, a batch")
		Expect(l.Reserve(testWorkspace, 30_000, granitehoist.MaxPriority, later)).To(BeTrue())
		request, needed := l.startRefill(testWorkspace, later)
		Expect(needed).To(BeTrue())
		Expect(request.want).To(BeNumerically(">", 20_000))
		_, needed = l.startRefill(testWorkspace, later)
		Expect(needed).To(BeFalse())
		l.endRefill(testWorkspace)
		_, needed = l.startRefill(testWorkspace, later)
		Expect(needed).To(BeTrue())
	})

	It("repays what exceeds two batches", func() {
		l.RecordLoan(testWorkspace, "k1", LendResult{Total: 400_000}, later)
		found := l.surpluses(100, later)
		Expect(found).To(HaveLen(1))
		Expect(l.State(testWorkspace).Free - found[0].tokens).To(BeNumerically("~", 100_000, 20_000))
	})
})
