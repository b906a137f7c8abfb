// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/standin"
)

var (
	ctx = context.Background()
	now = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
)

// fakeCaller passes batches to a collector and simulates lost calls and responses.
type fakeCaller struct {
	collector *bill.Collector
	// loseResponse makes a call fail after it took effect, loseCall before.
	loseResponse, loseCall bool
	calls                  int
}

func (f *fakeCaller) Call(ctx context.Context, _ granitehoist.Peer, _ string, params, result any) error {
	f.calls++
	if f.loseCall {
		return errors.New("lost")
	}
	b, err := params.(bill.CollectParams).Value()
	if err != nil {
		return err
	}
	collected, err := f.collector.Collect(ctx, b)
	if err != nil || f.loseResponse {
		return errors.New("lost")
	}
	*result.(*bill.CollectResult) = collected
	return nil
}

func charge(l *bill.Ledger, request string, tokens granitehoist.Tokens) {
	GinkgoHelper()
	Expect(l.ReserveSlot()).To(BeTrue())
	l.Charge(bill.Charge{Request: granitehoist.RequestID(request), Budget: "tuul/kiosk/season", Owner: "lima", Tokens: tokens}, now)
}

func newCollector(s granitehoist.Store, id granitehoist.Incarnation) *bill.Collector {
	return bill.NewCollector(bill.CollectorSettings{Region: "tuul", Incarnation: id, Store: s})
}

var _ = Describe("Ledger", func() {
	It("reserves no more than MaxPending charges", func() {
		l := bill.NewLedger(bill.LedgerSettings{Incarnation: "b", MaxPending: 2})
		Expect(l.ReserveSlot()).To(BeTrue())
		Expect(l.ReserveSlot()).To(BeTrue())
		Expect(l.ReserveSlot()).To(BeFalse())
		l.ReleaseSlot()
		Expect(l.ReserveSlot()).To(BeTrue())
		l.Charge(bill.Charge{}, now)
		Expect(l.ReserveSlot()).To(BeFalse(), "an unconfirmed charge counts towards MaxPending")
		l.Confirm(l.Next(1))
		Expect(l.ReserveSlot()).To(BeTrue())
	})

	It("removes only the charges of a confirmed batch", func() {
		l := bill.NewLedger(bill.LedgerSettings{Incarnation: "b"})
		charge(l, "1", 1)
		b := l.Next(10)
		charge(l, "2", 2)
		l.Confirm(b)
		l.Confirm(b)
		l.Confirm(bill.Batch{})
		Expect(l.Next(10).Charges).To(HaveLen(1))
		Expect(l.Next(10).Charges[0].Request).To(Equal(granitehoist.RequestID("2")))
	})
})

var _ = Describe("Sender", func() {
	var store *standin.Store
	var ledger *bill.Ledger
	var caller *fakeCaller
	var sender *bill.Sender
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{})
		ledger = bill.NewLedger(bill.LedgerSettings{Incarnation: "box-1"})
		caller = &fakeCaller{collector: newCollector(store, "box-2")}
		sender = bill.NewSender(bill.SenderSettings{
			Ledger:          ledger,
			Collector:       newCollector(store, "box-1"),
			Caller:          caller,
			RemoteCollector: func() (granitehoist.Peer, bool) { return granitehoist.Peer{Incarnation: "box-2"}, true },
		})
	})

	total := func() (count int, tokens granitehoist.Tokens) {
		GinkgoHelper()
		charges, err := bill.Read(ctx, store)
		Expect(err).NotTo(HaveOccurred())
		for _, c := range charges {
			tokens += c.Tokens
		}
		return len(charges), tokens
	}

	DescribeTable("stores each charge exactly once",
		func(faults standin.StoreFaults, loseResponse, loseCall bool) {
			store.Fail(faults)
			caller.loseResponse, caller.loseCall = loseResponse, loseCall
			for i := range 450 {
				charge(ledger, fmt.Sprint(i), 2)
			}
			Eventually(func() error { return sender.Flush(ctx) }).Should(Succeed())
			store.Fail(standin.StoreFaults{})
			count, tokens := total()
			Expect(count).To(Equal(450))
			Expect(tokens).To(Equal(granitehoist.Tokens(900)))
			Expect(ledger.Pending()).To(BeZero())
		},
		Entry("no faults", standin.StoreFaults{}, false, false),
		Entry("the collector's response is lost", standin.StoreFaults{}, true, false),
		Entry("the collector can't be reached", standin.StoreFaults{}, false, true),
		Entry("the store loses responses", standin.StoreFaults{LoseEvery: 2}, false, false),
		Entry("the store drops writes", standin.StoreFaults{DropEvery: 2}, true, false),
		Entry("all faults together", standin.StoreFaults{LoseEvery: 3, DropEvery: 2}, true, false),
	)

	It("keeps charges while the store is down", func() {
		store.Fail(standin.StoreFaults{Down: true})
		charge(ledger, "1", 5)
		Expect(sender.Flush(ctx)).NotTo(Succeed())
		Expect(ledger.Pending()).To(Equal(1))
		store.Fail(standin.StoreFaults{})
		Expect(sender.Flush(ctx)).To(Succeed())
		_, tokens := total()
		Expect(tokens).To(Equal(granitehoist.Tokens(5)))
	})

	It("writes the batches of many boxes to few segments", func() {
		collector := newCollector(store, "box-3")
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				defer GinkgoRecover()
				l := bill.NewLedger(bill.LedgerSettings{Incarnation: granitehoist.Incarnation(fmt.Sprint("many-", i))})
				charge(l, fmt.Sprint(i), 1)
				_, err := collector.Collect(ctx, l.Next(1))
				Expect(err).NotTo(HaveOccurred())
			})
		}
		group.Wait()
		count, _ := total()
		Expect(count).To(Equal(64))
		Expect(store.Calls().Writes).To(BeNumerically("<=", 64))
	})

	It("returns an error for a corrupt segment", func() {
		_, err := store.CompareAndSwap(ctx, granitehoist.Change{Key: bill.SegmentKey("tuul", "x", 1), Value: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		_, err = bill.Read(ctx, store)
		Expect(err).To(MatchError(ContainSubstring("bills/tuul/x")))
	})
})

var _ = Describe("Merge", func() {
	It("returns each charge once if several segments hold it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 20).Draw(t, "charges")
			var segments []bill.Segment
			for range rapid.IntRange(1, 10).Draw(t, "segments") {
				var s bill.Segment
				for range rapid.IntRange(0, 10).Draw(t, "size") {
					seq := uint64(rapid.IntRange(1, n).Draw(t, "seq"))
					s.Charges = append(s.Charges, bill.Charge{Incarnation: "b", Seq: seq, Tokens: granitehoist.Tokens(seq)})
				}
				segments = append(segments, s)
			}
			seen := map[uint64]bool{}
			for _, c := range bill.Merge(segments) {
				if seen[c.Seq] {
					t.Fatalf("charge %d returned twice", c.Seq)
				}
				seen[c.Seq] = true
			}
			for _, s := range segments {
				for _, c := range s.Charges {
					if !seen[c.Seq] {
						t.Fatalf("charge %d missing", c.Seq)
					}
				}
			}
		})
	})

	It("is summed by budget, with tokens served by other partners separate", func() {
		sums := bill.Summarise([]bill.Charge{
			{Request: "1", Budget: "tuul/a/x", Owner: "tuul", Tokens: 5},
			{Request: "2", Budget: "tuul/a/x", Owner: "lima", Tokens: 7, Estimated: true},
		})
		Expect(sums).To(Equal([]bill.Summary{{Budget: "tuul/a/x", Requests: 2, Charges: 2, Tokens: 12, Estimated: 7, Lent: 7}}))
	})

	It("combines the charges of a request that ran at two routers", func() {
		bills := bill.Bills([]bill.Charge{
			{Incarnation: "a", Seq: 1, Request: "r", Budget: "tuul/a/x", Tokens: 5},
			{Incarnation: "b", Seq: 1, Request: "r", Budget: "tuul/a/x", Tokens: 7},
			{Incarnation: "b", Seq: 2, Request: "r", Budget: "tuul/b/x", Tokens: 9},
		})
		Expect(bills).To(HaveLen(2))
		Expect(bills[0].Tokens).To(Equal(granitehoist.Tokens(12)))
		Expect(bills[1].Tokens).To(Equal(granitehoist.Tokens(9)))
	})
})
