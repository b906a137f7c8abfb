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

// fakeCaller hands batches to a collector and loses what it is told to.
type fakeCaller struct {
	collector *bill.Collector
	// loseAnswer and loseCall make a call fail after and before it acted.
	loseAnswer, loseCall bool
	calls                int
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
	if err != nil || f.loseAnswer {
		return errors.New("lost")
	}
	*result.(*bill.CollectResult) = collected
	return nil
}

func charge(l *bill.Ledger, request string, tokens granitehoist.Tokens) {
	GinkgoHelper()
	Expect(l.ReserveRoom()).To(BeTrue())
	l.Charge(bill.Charge{Request: granitehoist.RequestID(request), Budget: "tuul/kiosk/season", Owner: "lima", Tokens: tokens}, now)
}

func newCollector(s granitehoist.Store, id granitehoist.Incarnation) *bill.Collector {
	return bill.NewCollector(bill.CollectorSettings{Region: "tuul", Incarnation: id, Store: s})
}

var _ = Describe("Ledger", func() {
	It("opens no more than it can hold", func() {
		l := bill.NewLedger(bill.LedgerSettings{Incarnation: "b", MaxPending: 2})
		Expect(l.ReserveRoom()).To(BeTrue())
		Expect(l.ReserveRoom()).To(BeTrue())
		Expect(l.ReserveRoom()).To(BeFalse())
		l.ReleaseRoom()
		Expect(l.ReserveRoom()).To(BeTrue())
		l.Charge(bill.Charge{}, now)
		Expect(l.ReserveRoom()).To(BeFalse(), "an unconfirmed charge keeps its room")
		l.Confirm(l.Next(1))
		Expect(l.ReserveRoom()).To(BeTrue())
	})

	It("confirms a batch once, and only that", func() {
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

	DescribeTable("brings each charge into the store once",
		func(faults standin.StoreFaults, loseAnswer, loseCall bool) {
			store.Fail(faults)
			caller.loseAnswer, caller.loseCall = loseAnswer, loseCall
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
		Entry("healthy", standin.StoreFaults{}, false, false),
		Entry("the collector's answer is lost", standin.StoreFaults{}, true, false),
		Entry("the collector can't be reached", standin.StoreFaults{}, false, true),
		Entry("the store loses answers", standin.StoreFaults{LoseEvery: 2}, false, false),
		Entry("the store drops writes", standin.StoreFaults{DropEvery: 2}, true, false),
		Entry("all of it", standin.StoreFaults{LoseEvery: 3, DropEvery: 2}, true, false),
	)

	It("keeps the charges while the store is down", func() {
		store.Fail(standin.StoreFaults{Down: true})
		charge(ledger, "1", 5)
		Expect(sender.Flush(ctx)).NotTo(Succeed())
		Expect(ledger.Pending()).To(Equal(1))
		store.Fail(standin.StoreFaults{})
		Expect(sender.Flush(ctx)).To(Succeed())
		_, tokens := total()
		Expect(tokens).To(Equal(granitehoist.Tokens(5)))
	})

	It("gathers the batches of many boxes in few segments", func() {
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

	It("tells of a segment that can't be read", func() {
		_, err := store.CompareAndSwap(ctx, granitehoist.Change{Key: bill.SegmentKey("tuul", "x", 1), Value: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		_, err = bill.Read(ctx, store)
		Expect(err).To(MatchError(ContainSubstring("bills/tuul/x")))
	})
})

var _ = Describe("Merge", func() {
	It("counts each charge once, in whatever segments it stands", func() {
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
					t.Fatalf("charge %d twice", c.Seq)
				}
				seen[c.Seq] = true
			}
			for _, s := range segments {
				for _, c := range s.Charges {
					if !seen[c.Seq] {
						t.Fatalf("charge %d lost", c.Seq)
					}
				}
			}
		})
	})

	It("is summed by budget, with what the partner served apart", func() {
		sums := bill.Summarise([]bill.Charge{
			{Request: "1", Budget: "tuul/a/x", Owner: "tuul", Tokens: 5},
			{Request: "2", Budget: "tuul/a/x", Owner: "lima", Tokens: 7, Estimated: true},
		})
		Expect(sums).To(Equal([]bill.Summary{{Budget: "tuul/a/x", Requests: 2, Charges: 2, Tokens: 12, Estimated: 7, Lent: 7}}))
	})

	It("makes one bill of a request that ran at two routers", func() {
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
