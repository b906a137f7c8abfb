// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

const (
	testWorkspace = granitehoist.Workspace("kiosk")
	maxPriority   = granitehoist.MaxPriority
)

// box is one router's books over a store.
type box struct {
	ledger *escrow.Ledger
	syncer *escrow.Syncer
}

func newBox(name, incarnation string, store granitehoist.Store, routers int, clock granitehoist.Clock) *box {
	ledger := escrow.NewLedger(escrow.LedgerSettings{Incarnation: granitehoist.Incarnation(incarnation)})
	syncer := escrow.NewSyncer(escrow.SyncerSettings{
		Box: granitehoist.Box(name), Ledger: ledger, Store: store, Routers: func() int { return routers }, Clock: clock,
	})
	return &box{ledger, syncer}
}

// newHolder returns the books of a router that holds all shards for a large fleet.
func newHolder(name, incarnation string, store granitehoist.Store, clock granitehoist.Clock) *box {
	ledger := escrow.NewLedger(escrow.LedgerSettings{Incarnation: granitehoist.Incarnation(incarnation), Role: constantRole(escrow.Holds)})
	syncer := escrow.NewSyncer(escrow.SyncerSettings{
		Box: granitehoist.Box(name), Ledger: ledger, Store: store, Routers: func() int { return 20 }, Clock: clock,
	})
	return &box{ledger, syncer}
}

// constantRole gives a router one role for all shards.
func constantRole(r escrow.Role) func(escrow.Shard) escrow.Role {
	return func(escrow.Shard) escrow.Role { return r }
}

// fixedLenders names the same lenders for all shards.
func fixedLenders(incarnations ...granitehoist.Incarnation) func(escrow.Shard) []escrow.Lender {
	var lenders []escrow.Lender
	for _, incarnation := range incarnations {
		lenders = append(lenders, escrow.Lender{Peer: granitehoist.Peer{Incarnation: incarnation, Address: string(incarnation)}})
	}
	return func(escrow.Shard) []escrow.Lender { return lenders }
}

func (b *box) sync() error { return b.syncer.Sync(context.Background()) }

func recordOf(store granitehoist.Store) *escrow.Record {
	entry, err := store.Get(context.Background(), escrow.RecordKey)
	Expect(err).NotTo(HaveOccurred())
	record, err := escrow.DecodeRecord(entry)
	Expect(err).NotTo(HaveOccurred())
	return record
}

// directCaller passes loans without a network, unless it is broken.
type directCaller struct {
	to     *escrow.Syncer
	broken atomic.Bool
}

func (c *directCaller) Call(ctx context.Context, _ granitehoist.Peer, _ string, params, result any) error {
	if c.broken.Load() {
		return errors.New("no way there")
	}
	loan, err := c.to.ServeLend(ctx, params.(escrow.LendParams))
	*result.(*escrow.LendResult) = loan
	return err
}

var _ = Describe("Prepaid tokens", func() {
	var store *standin.Store
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{Clock: clock})
	})

	reserve := func(b *box, bound granitehoist.Tokens) bool {
		return b.ledger.Reserve(testWorkspace, bound, maxPriority, now)
	}
	spend := func(b *box, tokens granitehoist.Tokens) {
		Expect(reserve(b, tokens)).To(BeTrue())
		b.ledger.Settle(testWorkspace, tokens, tokens, now)
	}

	It("are owned only once the store has said so", func() {
		b := newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, 1000)
		Expect(reserve(b, 1)).To(BeFalse())
		Expect(b.sync()).To(Succeed())
		Expect(reserve(b, 100)).To(BeTrue())
	})

	It("survive a write whose answer was lost", func() {
		b := newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, 1000)
		store.Fail(standin.StoreFaults{LoseEvery: 1})
		Expect(b.sync()).NotTo(Succeed())
		Expect(b.ledger.State(testWorkspace).Granted).To(BeZero())
		store.Fail(standin.StoreFaults{})
		Expect(b.sync()).To(Succeed())
		Expect(b.ledger.State(testWorkspace).Granted).To(Equal(recordOf(store).Accounts[testWorkspace].Rows["a1"].Granted))
	})

	It("of a dead incarnation are never granted again", func() {
		dead := newBox("a", "a1", store, 1, clock)
		dead.ledger.SetLimit(testWorkspace, 1000)
		Expect(dead.sync()).To(Succeed())
		held := dead.ledger.State(testWorkspace).Granted
		next := newBox("a", "a2", store, 1, clock)
		next.ledger.SetLimit(testWorkspace, 1000)
		Expect(next.sync()).To(Succeed())
		record := recordOf(store)
		Expect(record.Accounts[testWorkspace].Folded).To(Equal(held))
		Expect(record.Accounts[testWorkspace].Taken()).To(BeNumerically("<=", 1000))
		Expect(record.Accounts[testWorkspace].Rows).NotTo(HaveKey(granitehoist.Incarnation("a1")))
	})

	It("go back to the store at a stop in good order", func() {
		b := newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, 1000)
		Expect(b.sync()).To(Succeed())
		spend(b, 30)
		b.ledger.Close()
		Expect(b.sync()).To(Succeed())
		Expect(recordOf(store).Accounts[testWorkspace].Taken()).To(Equal(granitehoist.Tokens(30)))
		Expect(reserve(b, 1)).To(BeFalse())
	})

	It("are not spent from a holding after the budget was cut below it", func() {
		b := newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, 1000)
		Expect(b.sync()).To(Succeed())
		spend(b, 40)
		b.ledger.SetLimit(testWorkspace, 50)
		Expect(reserve(b, 1)).To(BeFalse())
		Expect(b.sync()).To(Succeed())
		Expect(recordOf(store).Accounts[testWorkspace].Taken()).To(BeNumerically("<=", 50))
		Expect(reserve(b, 11)).To(BeFalse())
	})

	It("can all be spent, request by request, when little is left", func() {
		a, b := newBox("a", "a1", store, 2, clock), newBox("b", "b1", store, 2, clock)
		var spent granitehoist.Tokens
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, each := range []*box{a, b} {
			each.ledger.SetLimit(testWorkspace, 1000)
			go each.syncer.Run(ctx)
		}
		for i := range 100 {
			each := []*box{a, b}[i%2]
			wait, done := context.WithTimeout(ctx, time.Second)
			if each.syncer.Reserve(wait, testWorkspace, 10, maxPriority).Outcome == escrow.Granted {
				each.syncer.Settle(testWorkspace, 10, 10)
				spent += 10
			}
			done()
		}
		Expect(spent).To(BeNumerically(">=", 970))
		Expect(spent).To(BeNumerically("<=", 1000))
	})

	It("are kept for small requests when little is left, and large ones are told so", func() {
		b := newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, 10_000)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go b.syncer.Run(ctx)
		spendAll := func(bound granitehoist.Tokens, until granitehoist.Tokens) {
			for b.ledger.State(testWorkspace).Spent < until {
				Expect(b.syncer.Reserve(ctx, testWorkspace, bound, maxPriority).Outcome).To(Equal(escrow.Granted))
				b.syncer.Settle(testWorkspace, bound, bound)
			}
		}
		spendAll(50, 9600)
		Expect(b.syncer.Reserve(ctx, testWorkspace, 300, maxPriority).Outcome).To(Equal(escrow.Withheld))
		Expect(b.syncer.Reserve(ctx, testWorkspace, 10, maxPriority).Outcome).To(Equal(escrow.Granted))
	})

	It("are told to be spent only if no router has enough of them", func() {
		a, b := newBox("a", "a1", store, 2, clock), newBox("b", "b1", store, 2, clock)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, each := range []*box{a, b} {
			each.ledger.SetLimit(testWorkspace, 1000)
			Expect(each.sync()).To(Succeed())
			go each.syncer.Run(ctx)
		}
		Expect(a.syncer.Reserve(ctx, testWorkspace, 990, maxPriority).Outcome).To(Equal(escrow.Scarce))
		Expect(a.syncer.Reserve(ctx, testWorkspace, 1001, maxPriority).Outcome).To(Equal(escrow.Exhausted))
	})

	It("pass between neighbours by totals that a lost message can't double", func() {
		a, b := newBox("a", "a1", store, 2, clock), newBox("b", "b1", store, 2, clock)
		a.ledger.SetLimit(testWorkspace, 1000)
		Expect(a.sync()).To(Succeed())
		before := a.ledger.State(testWorkspace).Free
		ask := escrow.LendParams{Borrower: "b1", Workspace: testWorkspace, Need: 20, Want: 20}
		a.ledger.Lend(ask, now)
		second := a.ledger.Lend(ask, now)
		Expect(b.ledger.Borrowed(testWorkspace, "a1", second, now)).To(BeTrue())
		Expect(b.ledger.Borrowed(testWorkspace, "a1", second, now)).To(BeFalse())
		Expect(b.ledger.State(testWorkspace).Free).To(Equal(granitehoist.Tokens(40)))
		Expect(a.ledger.State(testWorkspace).Free).To(Equal(before - 40))
	})

	It("come from several neighbours if no one has enough", func() {
		borrower := newBox("z", "z1", store, 4, clock)
		var lenders []*box
		for _, name := range []string{"a", "b", "c"} {
			b := newBox(name, name+"1", store, 4, clock)
			b.ledger.SetLimit(testWorkspace, 1000)
			Expect(b.sync()).To(Succeed())
			lenders = append(lenders, b)
		}
		one := lenders[0].ledger.State(testWorkspace).Free
		for i, b := range lenders {
			loan := b.ledger.Lend(escrow.LendParams{Borrower: "z1", Workspace: testWorkspace, Need: one + 1, Want: one + 1}, now)
			borrower.ledger.Borrowed(testWorkspace, granitehoist.Incarnation([]string{"a1", "b1", "c1"}[i]), loan, now)
		}
		Expect(reserve(borrower, one+1)).To(BeTrue())
	})

	It("reach a router that asks holders without a call to the store, and it goes there if none answers", func() {
		relay := newBox("k", "k1", store, 1, clock)
		relay.ledger.SetLimit(testWorkspace, 10_000)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go relay.syncer.Run(ctx)
		caller := &directCaller{to: relay.syncer}
		ledger := escrow.NewLedger(escrow.LedgerSettings{Incarnation: "b1", Role: constantRole(escrow.Asks)})
		ledger.SetLimit(testWorkspace, 10_000)
		borrower := escrow.NewSyncer(escrow.SyncerSettings{
			Box: "b", Ledger: ledger, Store: store, Clock: clock, Caller: caller,
			Routers: func() int { return 20 },
			Lenders: fixedLenders("k1"),
		})
		go borrower.Run(ctx)
		Expect(borrower.Reserve(ctx, testWorkspace, 500, maxPriority).Outcome).To(Equal(escrow.Granted))
		Expect(recordOf(store).Accounts[testWorkspace].Rows).NotTo(HaveKey(granitehoist.Incarnation("b1")))
		caller.broken.Store(true)
		Expect(borrower.Reserve(ctx, testWorkspace, 2000, maxPriority).Outcome).To(Equal(escrow.Granted))
		Expect(recordOf(store).Accounts[testWorkspace].Rows).To(HaveKey(granitehoist.Incarnation("b1")))
		Expect(recordOf(store).Accounts[testWorkspace].Taken()).To(BeNumerically("<=", 10_000))
	})

	It("are lent to whoever asks for them in a wrong way as if it had asked for what it needs", func() {
		relay := newBox("k", "k1", store, 1, clock)
		relay.ledger.SetLimit(testWorkspace, 10_000)
		Expect(relay.sync()).To(Succeed())
		ask := escrow.LendParams{Borrower: "b1", Workspace: testWorkspace, Need: 30, Want: -500}
		Expect(relay.syncer.ServeLend(context.Background(), ask)).To(HaveField("Total", granitehoist.Tokens(30)))
		ask = escrow.LendParams{Borrower: "b1", Workspace: testWorkspace, Need: -30, Want: 500}
		Expect(relay.syncer.ServeLend(context.Background(), ask)).To(HaveField("Total", granitehoist.Tokens(30)))
	})

	It("are held by all routers together for no more than a part of what is left, whoever asks first", func() {
		const limit = 200_000
		at := now
		passing := func() time.Time { return at }
		boxes := []*box{newBox("a", "a1", store, 2, passing), newBox("b", "b1", store, 2, passing)}
		for _, b := range boxes {
			b.ledger.SetLimit(testWorkspace, limit)
		}
		for range 60 {
			for _, b := range boxes {
				Expect(b.sync()).To(Succeed())
				if b.ledger.Reserve(testWorkspace, 1000, maxPriority, at) {
					b.ledger.Settle(testWorkspace, 1000, 1000, at)
				}
			}
			at = at.Add(100 * time.Millisecond)
		}
		var free, spent granitehoist.Tokens
		for _, b := range boxes {
			Expect(b.sync()).To(Succeed())
			free += b.ledger.State(testWorkspace).Free
			spent += b.ledger.State(testWorkspace).Spent
		}
		Expect(spent).To(BeNumerically(">", 50_000))
		Expect(free).To(BeNumerically("<", (limit-spent)*6/10))
	})

	It("are kept for more urgent requests while the store is silent", func() {
		b := newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, 1000)
		Expect(b.sync()).To(Succeed())
		Expect(b.ledger.Reserve(testWorkspace, 10, maxPriority, now)).To(BeTrue())
		free := b.ledger.State(testWorkspace).Free
		Expect(b.ledger.Reserve(testWorkspace, free, maxPriority-2, now)).To(BeTrue())
		b.ledger.Settle(testWorkspace, free, 0, now)
		store.Fail(standin.StoreFaults{Down: true})
		Expect(b.sync()).NotTo(Succeed())
		Expect(b.ledger.Reserve(testWorkspace, free, maxPriority-2, now)).To(BeFalse())
		Expect(b.ledger.Reserve(testWorkspace, free, maxPriority, now)).To(BeTrue())
	})

	It("of a record that can't be read are not touched", func() {
		_, err := store.CompareAndSwap(context.Background(), granitehoist.Change{Key: escrow.RecordKey, Value: []byte("{")})
		Expect(err).NotTo(HaveOccurred())
		b := newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, 1000)
		Expect(b.sync()).To(MatchError(ContainSubstring(escrow.RecordKey)))
		Expect(reserve(b, 1)).To(BeFalse())
	})
})
