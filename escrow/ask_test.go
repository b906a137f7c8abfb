// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// syncerCaller passes calls directly to the syncer of a holder. The response to the method
// loseResponseOf is lost.
type syncerCaller struct {
	to             *escrow.Syncer
	loseResponseOf string
	// unreachable is an address whose calls fail; failed counts these calls,
	// calls counts all calls.
	unreachable string
	failed      atomic.Int64
	calls       atomic.Int64
}

func (c *syncerCaller) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	c.calls.Add(1)
	if c.unreachable != "" && to.Address == c.unreachable {
		c.failed.Add(1)
		return granitehoist.ErrUnknown
	}
	var response escrow.LendResult
	var err error
	switch p := params.(type) {
	case escrow.LendParams:
		response, err = c.to.ServeLend(ctx, p)
	case escrow.RepayParams:
		response, err = c.to.ServeRepay(ctx, p)
	}
	if err != nil || method == c.loseResponseOf {
		return granitehoist.ErrUnknown
	}
	*result.(*escrow.LendResult) = response
	return nil
}

// slowCaller delays all calls but those to one incarnation.
type slowCaller struct {
	granitehoist.Caller
	fast  granitehoist.Incarnation
	delay time.Duration
}

func (c *slowCaller) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	if to.Incarnation != c.fast {
		time.Sleep(c.delay)
	}
	return c.Caller.Call(ctx, to, method, params, result)
}

var _ = Describe("A borrower", func() {
	const limit = granitehoist.Tokens(1_000_000)
	var store *standin.Store
	var elapsed atomic.Int64
	var holder *box
	var caller *syncerCaller
	var ledger *escrow.Ledger
	clock := func() time.Time { return time.Unix(1000, 0).Add(time.Duration(elapsed.Load())) }
	advance := func(d time.Duration) { elapsed.Add(int64(d)) }
	// newBorrower returns a syncer of the borrower with the given lenders.
	newBorrower := func(via granitehoist.Caller, lenders ...granitehoist.Incarnation) *escrow.Syncer {
		return escrow.NewSyncer(escrow.SyncerSettings{
			Box: "b", Ledger: ledger, Store: store, Clock: clock, Caller: via,
			Routers: func() int { return 20 }, Lenders: fixedLenders(lenders...),
		})
	}
	BeforeEach(func() {
		elapsed.Store(0)
		store = standin.NewStore(standin.StoreSettings{Clock: clock})
		holder = newHolder("k", "k1", store, clock)
		holder.ledger.SetLimit(testWorkspace, limit)
		Expect(holder.sync()).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go holder.syncer.Run(ctx)
		caller = &syncerCaller{to: holder.syncer}
		ledger = escrow.NewLedger(escrow.LedgerSettings{Incarnation: "b1", Role: constantRole(escrow.RoleBorrower)})
		ledger.SetLimit(testWorkspace, limit)
	})
	// request reserves and settles one request of the borrower.
	request := func(s *escrow.Syncer, maxCost, used granitehoist.Tokens) escrow.Outcome {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		outcome := s.Reserve(ctx, testWorkspace, maxCost, maxPriority).Outcome
		if outcome == escrow.Granted {
			s.Settle(testWorkspace, maxCost, used)
		}
		return outcome
	}
	// unspent returns what is left in the store and at both routers.
	unspent := func() granitehoist.Tokens {
		return limit - recordOf(store).Accounts[testWorkspace].Outstanding() + holder.ledger.State(testWorkspace).Free + ledger.State(testWorkspace).Free
	}

	It("holds only the remainder of its last request", func() {
		syncer := newBorrower(caller, "k1")
		for range 50 {
			Expect(request(syncer, 1000, 900)).To(Equal(escrow.Granted))
			advance(time.Second)
		}
		Expect(ledger.State(testWorkspace).Free).To(Equal(granitehoist.Tokens(100)))
		Expect(recordOf(store).Accounts[testWorkspace].Rows).NotTo(HaveKey(granitehoist.Incarnation("b1")))
	})

	It("repays the remainder of a request once, although the reply is lost", func() {
		syncer := newBorrower(caller, "k1")
		Expect(request(syncer, 5000, 1000)).To(Equal(escrow.Granted))
		before := unspent()
		caller.loseResponseOf = escrow.MethodRepay
		escrow.RepaySurplus(syncer)
		Expect(unspent()).To(Equal(before))
		caller.loseResponseOf = ""
		escrow.RepaySurplus(syncer)
		Expect(ledger.State(testWorkspace).Free).To(BeZero())
		Expect(unspent()).To(Equal(before))
	})

	It("repays the remainder while the store is unresponsive", func() {
		syncer := newBorrower(caller, "k1")
		Expect(request(syncer, 5000, 1000)).To(Equal(escrow.Granted))
		store.Fail(standin.StoreFaults{Down: true})
		Expect(holder.sync()).NotTo(Succeed())
		escrow.RepaySurplus(syncer)
		Expect(ledger.State(testWorkspace).Free).To(BeZero())
	})

	It("rarely calls a holder that does not respond", func() {
		caller.unreachable = "dead"
		syncer := newBorrower(caller, "dead", "k1")
		for range 30 {
			Expect(request(syncer, 1000, 1000)).To(Equal(escrow.Granted))
			advance(100 * time.Millisecond)
		}
		Expect(caller.failed.Load()).To(BeNumerically("<=", 3))
	})

	It("makes no call right after a holder reported an exhausted budget", func() {
		holder.ledger.SetLimit(testWorkspace, 1000)
		Expect(holder.sync()).To(Succeed())
		syncer := newBorrower(caller, "k1")
		Expect(request(syncer, 5000, 0)).To(Equal(escrow.Exhausted))
		called := caller.calls.Load()
		Expect(request(syncer, 5000, 0)).To(Equal(escrow.Exhausted))
		Expect(caller.calls.Load()).To(Equal(called))
	})

	It("waits for the list of its fleet and does not read the record without it", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(newBorrower(caller).Reserve(ctx, testWorkspace, 1000, maxPriority).Outcome).NotTo(Equal(escrow.Granted))
		Expect(recordOf(store).Accounts[testWorkspace].Rows).NotTo(HaveKey(granitehoist.Incarnation("b1")))
	})

	It("calls the next lender when a holder is slow", func() {
		syncer := newBorrower(&slowCaller{Caller: caller, fast: "k1", delay: 2 * time.Second}, "slow", "k1")
		began := time.Now()
		Expect(request(syncer, 1000, 1000)).To(Equal(escrow.Granted))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("is refused at once if no holder has the tokens", func() {
		store.Fail(standin.StoreFaults{Down: true})
		Expect(holder.sync()).NotTo(Succeed())
		syncer := newBorrower(caller, "k1")
		began := time.Now()
		Expect(request(syncer, limit/2, 0)).To(Equal(escrow.Unreachable))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(holder.ledger.State(testWorkspace).Free).To(BeNumerically(">", 0), "no partial loan")
	})

	It("can borrow from a stand-in holder for a while", func() {
		other := newBox("o", "o1", store, 20, clock)
		standIn := escrow.NewLedger(escrow.LedgerSettings{Incarnation: "o1", Role: constantRole(escrow.RoleBorrower)})
		other.ledger = standIn
		other.syncer = escrow.NewSyncer(escrow.SyncerSettings{Box: "o", Ledger: standIn, Store: store, Clock: clock, Routers: func() int { return 20 }})
		standIn.SetLimit(testWorkspace, limit)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go other.syncer.Run(ctx)
		params := escrow.LendParams{Borrower: "b1", Workspace: testWorkspace, Need: 500, Want: 500}
		Expect(other.syncer.ServeLend(ctx, params)).To(HaveField("Total", BeZero()))
		params.StandIn = true
		wait, done := context.WithTimeout(ctx, 2*time.Second)
		defer done()
		Eventually(func() granitehoist.Tokens {
			result, err := other.syncer.ServeLend(wait, params)
			Expect(err).NotTo(HaveOccurred())
			return result.Total
		}).Should(BeNumerically(">=", 500))
		Expect(standIn.Role(testWorkspace, clock())).To(Equal(escrow.RoleStandIn))
		advance(4 * time.Second)
		Expect(standIn.Role(testWorkspace, clock())).To(Equal(escrow.RoleBorrower))
	})
})

var _ = Describe("A holder", func() {
	It("holds the net loans of all routers for the covered time, without repaid tokens", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		store := standin.NewStore(standin.StoreSettings{Clock: clock})
		holder := newHolder("k", "k1", store, clock)
		holder.ledger.SetLimit(testWorkspace, 10_000_000)
		Expect(holder.sync()).To(Succeed())
		for i := range 200 {
			borrower := granitehoist.Incarnation("b" + strconv.Itoa(i%40))
			result, err := holder.syncer.ServeLend(context.Background(), escrow.LendParams{Borrower: borrower, Workspace: testWorkspace, Need: 1000, Want: 1000})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.StoreConnected).To(BeTrue())
			_, err = holder.syncer.ServeRepay(context.Background(), escrow.RepayParams{Sender: borrower, Workspace: testWorkspace, Total: granitehoist.Tokens(i/40+1) * 500})
			Expect(err).NotTo(HaveOccurred())
			Expect(holder.sync()).To(Succeed())
			now = now.Add(100 * time.Millisecond)
		}
		// The net loans are 10 a second of 500 tokens; DefaultCover is 9 s.
		Expect(holder.ledger.State(testWorkspace).Free).To(BeNumerically("~", 45_000, 10_000))
	})

	It("loses little near the end of a budget if all routers crash without an earlier outage", func() {
		// 5,000 tokens a second use up 200,000 in 40 s; the routers crash after 30 s.
		const limit = granitehoist.Tokens(200_000)
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		holder := newHolder("k", "k1", standin.NewStore(standin.StoreSettings{Clock: clock}), clock)
		holder.ledger.SetLimit(testWorkspace, limit)
		for i := range 300 {
			borrower := granitehoist.Incarnation("b" + strconv.Itoa(i%40))
			_, err := holder.syncer.ServeLend(context.Background(), escrow.LendParams{Borrower: borrower, Workspace: testWorkspace, Need: 1000, Want: 1000})
			Expect(err).NotTo(HaveOccurred())
			_, err = holder.syncer.ServeRepay(context.Background(), escrow.RepayParams{Sender: borrower, Workspace: testWorkspace, Total: granitehoist.Tokens(i/40+1) * 500})
			Expect(err).NotTo(HaveOccurred())
			Expect(holder.sync()).To(Succeed())
			now = now.Add(100 * time.Millisecond)
		}
		// Tokens for DefaultCover, 9 s, would be 22 % of the budget.
		Expect(holder.ledger.State(testWorkspace).Free).To(BeNumerically("<=", limit*5/100))
	})
})
