// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// syncerCaller passes the calls of a router to a relay without a network. The
// reply to a method named lost is lost.
type syncerCaller struct {
	to   *escrow.Syncer
	lost string
	// unreachable is an address that nobody reaches, failed counts the calls.
	unreachable string
	failed      int
}

func (c *syncerCaller) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	if c.unreachable != "" && to.Address == c.unreachable {
		c.failed++
		return granitehoist.ErrUnknown
	}
	var reply escrow.LendResult
	var err error
	switch p := params.(type) {
	case escrow.LendParams:
		reply, err = c.to.ServeLend(ctx, p)
	case escrow.RepayParams:
		reply, err = c.to.ServeRepay(ctx, p)
	}
	if err != nil || method == c.lost {
		return granitehoist.ErrUnknown
	}
	*result.(*escrow.LendResult) = reply
	return nil
}

var _ = Describe("A router behind a relay", func() {
	const limit = granitehoist.Tokens(1_000_000)
	var store *standin.Store
	var elapsed atomic.Int64
	var relay *box
	var line *syncerCaller
	var ledger *escrow.Ledger
	var syncer *escrow.Syncer
	clock := func() time.Time { return time.Unix(1000, 0).Add(time.Duration(elapsed.Load())) }
	pass := func(d time.Duration) { elapsed.Add(int64(d)) }
	BeforeEach(func() {
		elapsed.Store(0)
		store = standin.NewStore(standin.StoreSettings{Clock: clock})
		relay = newBox("k", "k1", store, 1, clock)
		relay.ledger.SetLimit(kiosk, limit)
		Expect(relay.sync()).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go relay.syncer.Run(ctx)
		line = &syncerCaller{to: relay.syncer}
		ledger = escrow.NewLedger(escrow.LedgerSettings{Incarnation: "b1"})
		ledger.SetLimit(kiosk, limit)
		syncer = escrow.NewSyncer(escrow.SyncerSettings{
			Box: "b", Ledger: ledger, Store: store, Clock: clock, Caller: line,
			Routers: func() int { return 20 },
			Writes:  func() bool { return false },
			Serves:  func() bool { return false },
			Lenders: func() []granitehoist.Peer { return []granitehoist.Peer{{Incarnation: "k1"}} },
		})
	})
	// spend lets requests of a size end, one each step, for a while.
	spend := func(size granitehoist.Tokens, step, lasting time.Duration) {
		for end := clock().Add(lasting); clock().Before(end); pass(step) {
			if !ledger.Reserve(kiosk, size, normal, clock()) {
				outcome := ledger.Enter(kiosk, size, normal, clock())
				escrow.AskRelays(syncer)
				Expect(outcome).To(Receive(Equal(escrow.Granted)))
			}
			ledger.Settle(kiosk, size, size, clock())
			escrow.AskRelays(syncer)
		}
	}
	// unspent returns what is left in the store and at both routers.
	unspent := func() granitehoist.Tokens {
		return limit - recordOf(store).Accounts[kiosk].Taken() + relay.ledger.State(kiosk).Free + ledger.State(kiosk).Free
	}

	It("holds the tokens of some seconds of its demand, also if that is most of the fleet's", func() {
		spend(1000, 100*time.Millisecond, 12*time.Second)
		Expect(ledger.State(kiosk).Free).To(BeNumerically("~", 9*10_000, 30_000))
	})

	It("holds no more for one request now and then than these need", func() {
		spend(1000, 100*time.Millisecond, 6*time.Second)
		pass(30 * time.Second)
		Expect(relay.sync()).To(Succeed())
		escrow.RepaySurplus(syncer)
		spend(1000, 4*time.Second, 24*time.Second)
		Expect(ledger.State(kiosk).Free).To(BeNumerically("<", 10_000))
	})

	It("gives back what it no longer needs, once, though the reply is lost", func() {
		spend(1000, 100*time.Millisecond, 12*time.Second)
		held, before := ledger.State(kiosk).Free, unspent()
		pass(40 * time.Second)
		Expect(relay.sync()).To(Succeed())
		escrow.RepaySurplus(syncer)
		Expect(ledger.State(kiosk).Free).To(BeNumerically("<", held/4))
		Expect(unspent()).To(Equal(before))
		spend(1000, 100*time.Millisecond, 12*time.Second)
		before = unspent()
		pass(40 * time.Second)
		Expect(relay.sync()).To(Succeed())
		line.lost = escrow.MethodRepay
		escrow.RepaySurplus(syncer)
		Expect(unspent()).To(Equal(before))
	})

	It("asks a relay that does not answer only now and then", func() {
		line.unreachable = "dead"
		lenders := []granitehoist.Peer{{Incarnation: "k0", Address: "dead"}, {Incarnation: "k1", Address: "live"}}
		syncer = escrow.NewSyncer(escrow.SyncerSettings{
			Box: "b", Ledger: ledger, Store: store, Clock: clock, Caller: line,
			Routers: func() int { return 20 },
			Writes:  func() bool { return false },
			Serves:  func() bool { return false },
			Lenders: func() []granitehoist.Peer { return lenders },
		})
		spend(1000, 100*time.Millisecond, 3*time.Second)
		Expect(line.failed).To(BeNumerically("<=", 3))
	})

	It("gives nothing to a relay that does not speak with the store", func() {
		spend(1000, 100*time.Millisecond, 12*time.Second)
		held := ledger.State(kiosk).Free
		store.Fail(standin.StoreFaults{Down: true})
		Expect(relay.sync()).NotTo(Succeed())
		pass(40 * time.Second)
		escrow.RepaySurplus(syncer)
		Expect(ledger.State(kiosk).Free).To(Equal(held))
	})
})
