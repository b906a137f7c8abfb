// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// shardRecord returns the record of the shard that has testWorkspace.
func shardRecord(store granitehoist.Store) *escrow.Record {
	GinkgoHelper()
	entries, _, err := store.List(context.Background(), escrow.RecordKey+"/")
	Expect(err).NotTo(HaveOccurred())
	for _, entry := range entries {
		record, err := escrow.DecodeRecord(entry)
		Expect(err).NotTo(HaveOccurred())
		if _, ok := record.Accounts[testWorkspace]; ok {
			return record
		}
	}
	return &escrow.Record{Accounts: map[granitehoist.Workspace]*escrow.StoredAccount{testWorkspace: {}}}
}

var _ = Describe("A record that is divided as the fleet grows", func() {
	const limit = granitehoist.Tokens(100_000)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	var store *standin.Store
	var large bool
	// newGrowingBox returns a box whose fleet divides the record once large is set.
	newGrowingBox := func(name, incarnation string) *box {
		ledger := escrow.NewLedger(escrow.LedgerSettings{Incarnation: granitehoist.Incarnation(incarnation)})
		ledger.SetLimit(testWorkspace, limit)
		return &box{ledger, escrow.NewSyncer(escrow.SyncerSettings{
			Box: granitehoist.Box(name), Ledger: ledger, Store: store, Clock: clock,
			Routers: func() int { return 2 }, ShardsRecord: func() bool { return large },
		})}
	}
	BeforeEach(func() {
		large = false
		store = standin.NewStore(standin.StoreSettings{Clock: clock})
	})

	It("keeps what each router owns, and its rows", func() {
		a := newGrowingBox("a", "a1")
		Expect(a.sync()).To(Succeed())
		held := a.ledger.State(testWorkspace)
		Expect(held.Free).To(BeNumerically(">", 0))
		large = true
		Expect(a.sync()).To(Succeed())
		Expect(recordOf(store).Shards).To(BeNumerically(">", 0))
		Expect(a.ledger.State(testWorkspace).Free).To(Equal(held.Free))
		a.ledger.Close()
		Expect(a.sync()).To(Succeed())
		Expect(shardRecord(store).Accounts[testWorkspace].Outstanding()).To(BeZero())
	})

	It("can't be written by a router with an undivided copy, which then uses the shards", func() {
		a, b := newGrowingBox("a", "a1"), newGrowingBox("b", "b1")
		Expect(b.sync()).To(Succeed())
		large = true
		Expect(a.sync()).To(Succeed())
		large = false
		b.ledger.Close()
		Expect(b.sync()).To(Succeed())
		Expect(recordOf(store).Shards).To(BeNumerically(">", 0))
		Expect(recordOf(store).Accounts[testWorkspace].Rows["b1"].Returned).To(BeZero(), "the divided record does not change")
		Expect(shardRecord(store).Accounts[testWorkspace].Rows["b1"].Net()).To(BeZero())
	})

	It("is divided once, although the response is lost", func() {
		a := newGrowingBox("a", "a1")
		Expect(a.sync()).To(Succeed())
		large = true
		store.Fail(standin.StoreFaults{LoseEvery: 1})
		Expect(a.sync()).NotTo(Succeed())
		store.Fail(standin.StoreFaults{})
		before := recordOf(store)
		Expect(a.sync()).To(Succeed())
		Expect(recordOf(store)).To(Equal(before))
		a.ledger.Close()
		Expect(a.sync()).To(Succeed())
		Expect(shardRecord(store).Accounts[testWorkspace].Rows["a1"].Granted).To(BeNumerically(">", 0))
		Expect(shardRecord(store).Accounts[testWorkspace].Outstanding()).To(BeZero())
	})

	It("counts the tokens of a crashed router in the record of the shard", func() {
		crashed := newGrowingBox("a", "a1")
		Expect(crashed.sync()).To(Succeed())
		lost := crashed.ledger.State(testWorkspace).Granted
		large = true
		next := newGrowingBox("a", "a2")
		Expect(next.sync()).To(Succeed())
		Expect(shardRecord(store).Accounts[testWorkspace].EndedNet).To(Equal(lost))
	})

	It("is not changed if a later version divided it differently", func() {
		_, err := store.CompareAndSwap(context.Background(), granitehoist.Change{Key: escrow.RecordKey, Value: []byte(`{"format":2,"shards":7}`)})
		Expect(err).NotTo(HaveOccurred())
		Expect(newGrowingBox("a", "a1").sync()).To(MatchError(ContainSubstring("7 shards")))
	})
})
