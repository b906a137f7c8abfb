// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("Holdings around an outage of the store", func() {
	const limit = granitehoist.Tokens(1_000_000)
	var store *standin.Store
	var now time.Time
	var b *box
	clock := func() time.Time { return now }
	// run advances the clock with a request and a sync every tenth of a second.
	run := func(duration time.Duration) {
		GinkgoHelper()
		for end := now.Add(duration); now.Before(end); now = now.Add(100 * time.Millisecond) {
			_ = b.sync()
			if b.ledger.Reserve(testWorkspace, 1000, maxPriority, now) {
				b.ledger.Settle(testWorkspace, 1000, 1000, now)
			}
		}
		_ = b.sync()
	}
	outage := func(duration time.Duration) {
		GinkgoHelper()
		store.Fail(standin.StoreFaults{Down: true})
		run(duration)
		store.Fail(standin.StoreFaults{})
	}
	free := func() granitehoist.Tokens { return b.ledger.State(testWorkspace).Free }
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		store = standin.NewStore(standin.StoreSettings{Clock: clock})
		b = newBox("a", "a1", store, 1, clock)
		b.ledger.SetLimit(testWorkspace, limit)
		run(20 * time.Second)
		Expect(free()).To(BeNumerically(">", 60_000))
	})

	It("are returned at once when it ends, so that little is lost if the routers crash then", func() {
		outage(5 * time.Second)
		Expect(free()).To(BeNumerically(">", 15_000))
		run(500 * time.Millisecond)
		Expect(free()).To(BeNumerically("<", limit/50))
		Expect(recordOf(store).Accounts[testWorkspace].Rows["a1"].Returned).To(BeNumerically(">", 0))
	})

	It("grow back within 10 s", func() {
		outage(5 * time.Second)
		run(3 * time.Second)
		Expect(free()).To(BeNumerically("<", limit/50))
		run(7 * time.Second)
		Expect(free()).To(BeNumerically(">", 60_000))
	})

	It("do not change after a short interruption", func() {
		outage(2 * time.Second)
		run(500 * time.Millisecond)
		Expect(free()).To(BeNumerically(">", 60_000))
	})

	It("are filled for waiting requests after it", func() {
		outage(5 * time.Second)
		run(500 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go b.syncer.Run(ctx)
		Expect(b.syncer.Reserve(ctx, testWorkspace, limit/20, maxPriority).Outcome).To(Equal(escrow.Granted))
	})

	It("are returned when the store did not respond to a neighbour", func() {
		b.ledger.NoteNeighbourUnreachableFor(time.Second, now)
		run(500 * time.Millisecond)
		Expect(free()).To(BeNumerically(">", 60_000))
		b.ledger.NoteNeighbourUnreachableFor(5*time.Second, now)
		run(500 * time.Millisecond)
		Expect(free()).To(BeNumerically("<", limit/50))
	})

	It("report for how long the store has not responded", func() {
		Expect(b.ledger.StoreUnreachableFor(now)).To(BeZero())
		store.Fail(standin.StoreFaults{Down: true})
		run(3 * time.Second)
		Expect(b.ledger.StoreUnreachableFor(now)).To(BeNumerically("~", 3*time.Second, 200*time.Millisecond))
	})
})

var _ = Describe("A router that shuts down", func() {
	const limit = granitehoist.Tokens(100_000)
	var store *standin.Store
	var neighbour *box
	var caller *syncerCaller
	var ledger *escrow.Ledger
	var syncer *escrow.Syncer
	at := time.Unix(1000, 0)
	clock := func() time.Time { return at }
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{Clock: clock})
		neighbour = newBox("n", "n1", store, 2, clock)
		neighbour.ledger.SetLimit(testWorkspace, limit)
		Expect(neighbour.sync()).To(Succeed())
		caller = &syncerCaller{to: neighbour.syncer}
		ledger = escrow.NewLedger(escrow.LedgerSettings{Incarnation: "b1"})
		ledger.SetLimit(testWorkspace, limit)
		syncer = escrow.NewSyncer(escrow.SyncerSettings{
			Box: "b", Ledger: ledger, Store: store, Clock: clock, Caller: caller,
			Routers: func() int { return 2 },
			Lenders: fixedLenders("n1"),
		})
		Expect(syncer.Sync(context.Background())).To(Succeed())
		Expect(ledger.State(testWorkspace).Free).To(BeNumerically(">", 1000))
	})
	fail := func() {
		store.Fail(standin.StoreFaults{Down: true})
		_ = syncer.Sync(context.Background())
	}

	It("returns its tokens to the store", func() {
		Expect(syncer.Close(context.Background())).To(Succeed())
		Expect(recordOf(store).Accounts[testWorkspace].Rows["b1"].Net()).To(BeZero())
	})

	It("transfers them to a neighbour while the store is unresponsive", func() {
		held := ledger.State(testWorkspace).Free
		before := neighbour.ledger.State(testWorkspace).Free
		fail()
		Expect(syncer.Close(context.Background())).NotTo(Succeed())
		Expect(ledger.State(testWorkspace).Free).To(BeZero())
		Expect(neighbour.ledger.State(testWorkspace).Free).To(Equal(before + held))
		store.Fail(standin.StoreFaults{})
		Expect(recordOf(store).Accounts[testWorkspace].Outstanding()).To(BeNumerically("<=", limit))
	})

	It("transfers nothing to a neighbour that shuts down as well", func() {
		held := ledger.State(testWorkspace).Free
		neighbour.ledger.Close()
		fail()
		Expect(syncer.Close(context.Background())).NotTo(Succeed())
		Expect(ledger.State(testWorkspace).Free).To(Equal(held))
	})

	It("keeps transferred tokens deducted if the reply was lost", func() {
		before := neighbour.ledger.State(testWorkspace).Free
		held := ledger.State(testWorkspace).Free
		fail()
		caller.loseResponseOf = escrow.MethodRepay
		Expect(syncer.Close(context.Background())).NotTo(Succeed())
		Expect(ledger.State(testWorkspace).Free + neighbour.ledger.State(testWorkspace).Free).To(BeNumerically("<=", before+held))
	})
})

// timedStore never responds, and records the timeout of each call.
type timedStore struct {
	granitehoist.Store
	mu       sync.Mutex
	timeouts []time.Duration
}

func (s *timedStore) Get(ctx context.Context, _ string) (granitehoist.Entry, error) {
	deadline, _ := ctx.Deadline()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeouts = append(s.timeouts, time.Until(deadline))
	return granitehoist.Entry{}, granitehoist.ErrUnknown
}

var _ = Describe("A syncer whose store is unresponsive", func() {
	It("uses short timeouts to notice the recovery soon, and sometimes the full one", func() {
		store := &timedStore{}
		b := newBox("a", "a1", store, 1, time.Now)
		for range 6 {
			Expect(b.sync()).NotTo(Succeed())
		}
		long := 0
		for _, timeout := range store.timeouts {
			if timeout > escrow.DefaultTimeout/2 {
				long++
			}
		}
		Expect(store.timeouts).To(HaveLen(6))
		Expect(store.timeouts[0]).To(BeNumerically("<=", 400*time.Millisecond), "the first call of a router")
		Expect(store.timeouts[1]).To(BeNumerically("<=", 400*time.Millisecond))
		Expect(long).To(Equal(1))
	})
})
