// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("A request that waits for tokens reserved for higher priorities", func() {
	It("is granted when a lender reports that the store responds", func() {
		const testWorkspace = granitehoist.Workspace("kiosk")
		l := NewLedger(LedgerSettings{Incarnation: "a1"})
		l.SetLimit(testWorkspace, 10_000)
		a := l.account(testWorkspace)
		a.owned.confirmGranted(1000)
		a.lastTarget = 1000
		l.noteStoreFailure(testNow)
		Expect(l.Reserve(testWorkspace, 10, granitehoist.MaxPriority, testNow)).To(BeTrue())
		waits := l.addWaiter(testWorkspace, claim{maxCost: 800, priority: granitehoist.MaxPriority - 2}, testNow)
		Expect(waits.outcome).NotTo(Receive())
		l.RecordLoan(testWorkspace, "k1", LendResult{StoreConnected: true, StoreRemaining: 5000, TotalRemaining: 5000}, testNow)
		Expect(waits.outcome).To(Receive(Equal(Granted)))
	})
})

var _ = Describe("A request that is granted after a wait", func() {
	It("counts as demand like one that did not wait", func() {
		const testWorkspace = granitehoist.Workspace("kiosk")
		l := NewLedger(LedgerSettings{Incarnation: "a1"})
		l.SetLimit(testWorkspace, 10_000)
		s := NewSyncer(SyncerSettings{Box: "a", Ledger: l, Store: standin.NewStore(standin.StoreSettings{}), Clock: func() time.Time { return testNow }})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go s.Run(ctx)
		Expect(s.Reserve(ctx, testWorkspace, 900, granitehoist.MaxPriority).Outcome).To(Equal(Granted))
		s.Settle(testWorkspace, 900, 800)
		l.mu.Lock()
		defer l.mu.Unlock()
		Expect(l.account(testWorkspace).demand.rate.value(testNow.Add(rateStep))).To(BeNumerically("~", 800/rateStep.Seconds(), 1))
	})
})
