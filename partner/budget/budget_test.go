// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

const k = granitehoist.BudgetID("tuul/kiosk/season")

var (
	ctx   = context.Background()
	start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
)

// fixture has a store and a budget of 1,000 tokens, and makes Allocators on them.
type fixture struct {
	store   *standin.Store
	prepaid granitehoist.Tokens
	serial  granitehoist.Serial
	now     time.Time
}

func newFixture() *fixture {
	f := &fixture{prepaid: 1000, serial: 1, now: start}
	f.store = standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return f.now }})
	return f
}

// allocator returns the Allocator of a region.
func (f *fixture) allocator(r granitehoist.Region) *budget.Allocator {
	return budget.NewAllocator(budget.AllocatorSettings{
		Region: r,
		Store:  f.store,
		Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
			return f.prepaid, f.serial, true
		},
	})
}

// sync sends a box's reports to an Allocator and applies the replies.
func (f *fixture) sync(allocator *budget.Allocator, p *budget.Ledger) error {
	reports, urgent := p.Reports(f.now)
	params := budget.SyncParams{Box: "box", Incarnation: p.Incarnation(), Reports: reports, Urgent: urgent}
	result, err := allocator.Sync(ctx, 0, params, f.now)
	if err == nil {
		p.Apply(reports, result.Replies, f.now)
	}
	return err
}

// overview reads the budget's records from the store.
func (f *fixture) overview() budget.Overview {
	GinkgoHelper()
	states, err := budget.ReadStates(ctx, f.store, 1, f.now)
	Expect(err).NotTo(HaveOccurred())
	return states.Of([]granitehoist.BudgetID{k}, func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
		return f.prepaid, f.serial, true
	})[0]
}

func newTestLedger(id granitehoist.Incarnation) *budget.Ledger {
	return budget.NewLedger(budget.LedgerSettings{Incarnation: id})
}

var _ = Describe("Ledger", func() {
	var f *fixture
	var allocator *budget.Allocator
	var p *budget.Ledger
	BeforeEach(func() {
		f = newFixture()
		allocator = f.allocator("tuul")
		p = newTestLedger("box-1")
	})

	It("reserves no more tokens than it holds", func() {
		Expect(p.Reserve(k, 1)).To(BeFalse())
		Expect(p.Reserve(k, 0)).To(BeTrue())
	})

	It("grants a waiting request and charges its actual use", func() {
		w := p.Wait(k, 300, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		Expect(w.Done).To(BeClosed())
		Expect(p.EndWait(k, w, f.now)).To(Equal(budget.Granted))
		p.Settle(k, 300, 120, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		Expect(f.overview().Charged).To(Equal(granitehoist.Tokens(120)))
	})

	It("refuses a request at once that exceeds the whole budget", func() {
		w := p.Wait(k, 1001, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		Expect(p.EndWait(k, w, f.now)).To(Equal(budget.Exhausted))
	})

	It("returns Unreachable for an unknown budget while the store is down", func() {
		f.store.Fail(standin.StoreFaults{Down: true})
		w := p.Wait(k, 10, f.now)
		Expect(f.sync(allocator, p)).To(MatchError(granitehoist.ErrUnavailable))
		Expect(p.EndWait(k, w, f.now)).To(Equal(budget.Unreachable))
	})

	It("spends the tokens it holds while the store is down", func() {
		Expect(p.EndWait(k, p.Wait(k, 0, f.now), f.now)).To(Equal(budget.Granted))
		w := p.Wait(k, 300, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		Expect(p.EndWait(k, w, f.now)).To(Equal(budget.Granted))
		f.store.Fail(standin.StoreFaults{Down: true})
		p.Settle(k, 300, 100, f.now)
		Expect(p.Reserve(k, 200)).To(BeTrue())
		Expect(p.Reserve(k, 1)).To(BeFalse())
	})

	It("keeps an idle reserve of several requests if the budget is large", func() {
		f.prepaid = 2_000_000
		w := p.Wait(k, 300, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		Expect(p.EndWait(k, w, f.now)).To(Equal(budget.Granted))
		p.Settle(k, 300, 10, f.now)
		f.store.Fail(standin.StoreFaults{Down: true})
		for range 10 {
			Expect(p.Reserve(k, 300)).To(BeTrue())
		}
	})

	It("charges a use beyond the bound in full", func() {
		w := p.Wait(k, 100, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		Expect(p.EndWait(k, w, f.now)).To(Equal(budget.Granted))
		p.Settle(k, 100, 400, f.now)
		state := p.State(k, f.now)
		Expect(state.Totals.Spent).To(Equal(granitehoist.Tokens(400)))
		Expect(p.Reserve(k, 0)).To(Equal(state.Free >= 0))
	})

	It("lends half of its spare tokens, and nothing more for a duplicated message", func() {
		w := p.Wait(k, 400, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		Expect(p.EndWait(k, w, f.now)).To(Equal(budget.Granted))
		p.Settle(k, 400, 0, f.now)
		free := p.State(k, f.now).Free
		other := newTestLedger("box-2")
		waiter := other.Wait(k, free/2, f.now)
		request, short := other.LoanRequest(k, p.Incarnation())
		Expect(short).To(BeTrue())
		first, second := p.Lend(request, f.now), p.Lend(request, f.now)
		Expect(second).To(Equal(first))
		Expect(first.Total).To(Equal(free / 2))
		other.ApplyLoan(k, first)
		other.ApplyLoan(k, second)
		Expect(other.EndWait(k, waiter, f.now)).To(Equal(budget.Granted))
		Expect(other.State(k, f.now).Totals.Held()).To(Equal(free / 2))
	})

	It("panics on invalid arguments", func() {
		Expect(func() { p.Reserve(k, -1) }).To(Panic())
		Expect(func() { p.Settle(k, 1, 0, f.now) }).To(Panic())
		Expect(func() { budget.NewLedger(budget.LedgerSettings{}) }).To(Panic())
	})
})

var _ = Describe("Allocator", func() {
	var f *fixture
	var tuul, lima *budget.Allocator
	var p *budget.Ledger
	BeforeEach(func() {
		f = newFixture()
		tuul, lima = f.allocator("tuul"), f.allocator("lima")
		p = newTestLedger("box-1")
	})

	grant := func(allocator *budget.Allocator, p *budget.Ledger, bound granitehoist.Tokens) budget.Outcome {
		GinkgoHelper()
		w := p.Wait(k, bound, f.now)
		Expect(f.sync(allocator, p)).To(Succeed())
		return p.EndWait(k, w, f.now)
	}

	It("makes tokens held in one region available in another", func() {
		other := newTestLedger("box-2")
		Expect(grant(tuul, p, 600)).To(Equal(budget.Granted))
		p.Settle(k, 600, 1, f.now)
		w := other.Wait(k, 999, f.now)
		for range 4 {
			f.now = f.now.Add(time.Second)
			Expect(f.sync(lima, other)).To(Succeed())
			Expect(f.sync(tuul, p)).To(Succeed())
		}
		Expect(f.sync(lima, other)).To(Succeed())
		Expect(other.EndWait(k, w, f.now)).To(Equal(budget.Granted))
	})

	It("grants once if the answer to a write is lost", func() {
		f.store.Fail(standin.StoreFaults{LoseEvery: 2})
		Expect(grant(tuul, p, 1000)).To(Equal(budget.Granted))
		Expect(f.overview().Held["tuul"]).To(Equal(granitehoist.Tokens(1000)))
	})

	It("applies a top-up and ignores an older configuration", func() {
		Expect(grant(tuul, p, 1000)).To(Equal(budget.Granted))
		f.prepaid, f.serial = 1500, 2
		Expect(grant(tuul, p, 400)).To(Equal(budget.Granted))
		f.prepaid, f.serial = 9000, 1
		Expect(grant(tuul, p, 400)).To(Equal(budget.Exhausted))
	})

	It("applies a reduction as tokens are returned", func() {
		Expect(grant(tuul, p, 800)).To(Equal(budget.Granted))
		f.prepaid, f.serial = 500, 2
		other := newTestLedger("box-2")
		Expect(grant(lima, other, 100)).To(Equal(budget.Exhausted))
		Expect(f.overview().Unallocated).To(BeNumerically("<", 0))
		p.Settle(k, 800, 100, f.now)
		for range 4 {
			f.now = f.now.Add(time.Minute)
			Expect(f.sync(tuul, p)).To(Succeed())
		}
		Expect(f.overview().Unallocated).To(Equal(granitehoist.Tokens(400)))
	})

	It("counts the tokens of a silent box as in doubt", func() {
		Expect(grant(tuul, p, 300)).To(Equal(budget.Granted))
		Expect(f.overview().InDoubt).To(BeZero())
		f.now = f.now.Add(time.Minute)
		Expect(f.overview().InDoubt).To(Equal(granitehoist.Tokens(300)))
	})

	It("refuses messages of closed and of unknown incarnations", func() {
		Expect(grant(tuul, p, 300)).To(Equal(budget.Granted))
		reports, _ := p.Reports(f.now)
		old := budget.SyncParams{Incarnation: "box-1", Reports: reports}
		p.Settle(k, 300, 100, f.now)
		p.Close()
		reports, _ = p.Reports(f.now)
		closing := budget.SyncParams{Incarnation: "box-1", Reports: reports, Closing: true}
		for range 2 {
			_, err := tuul.Sync(ctx, 0, closing, f.now)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := tuul.Sync(ctx, 0, old, f.now)
		Expect(err).To(MatchError(budget.ErrUnknownIncarnation))
		old.Incarnation = "box-9"
		old.Reports = []budget.Report{{Budget: k, Totals: budget.Totals{Granted: 5}}}
		_, err = tuul.Sync(ctx, 0, old, f.now)
		Expect(err).To(MatchError(budget.ErrUnknownIncarnation))
		Expect(f.overview().Held["tuul"]).To(BeZero())
		Expect(f.overview().Charged).To(Equal(granitehoist.Tokens(100)))
	})

	It("does not overwrite an invalid record", func() {
		Expect(grant(tuul, p, 300)).To(Equal(budget.Granted))
		key := budget.RootKey(0)
		e, _ := f.store.Get(ctx, key)
		_, err := f.store.CompareAndSwap(ctx, granitehoist.Change{Key: key, Value: []byte("{}"), Expect: e.Version})
		Expect(err).NotTo(HaveOccurred())
		other := newTestLedger("box-2")
		w := other.Wait(k, 10, f.now)
		Expect(f.sync(lima, other)).NotTo(Succeed())
		Expect(other.EndWait(k, w, f.now)).To(Equal(budget.Unreachable))
		after, _ := f.store.Get(ctx, key)
		Expect(string(after.Value)).To(Equal("{}"))
	})

	It("processes concurrent messages with one write", func() {
		const boxes = 20
		messages := make([]budget.SyncParams, boxes)
		for i := range messages {
			q := newTestLedger(granitehoist.Incarnation(string(rune('a' + i))))
			q.Wait(k, 10, f.now)
			reports, _ := q.Reports(f.now)
			messages[i] = budget.SyncParams{Incarnation: q.Incarnation(), Reports: reports}
		}
		results, err := tuul.SyncAll(ctx, 0, messages, f.now)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range results {
			Expect(r.Replies[0].Granted).To(BeNumerically(">=", 10))
		}
		Expect(f.store.Calls().Writes).To(Equal(2), "one for the root record and one for the region's")
	})
})

var _ = Describe("Records", func() {
	DescribeTable("that are invalid yield an error and not an empty record",
		func(value string) {
			packed, err := pack.Pack(json.RawMessage(value))
			if err != nil {
				packed = []byte(value)
			}
			e := granitehoist.Entry{Key: "x", Value: packed, Version: 1}
			_, err = budget.DecodeRegionRecord(e)
			Expect(err).To(HaveOccurred())
			_, err = budget.DecodeRootRecord(e)
			Expect(err).To(HaveOccurred())
		},
		Entry("empty value", ""),
		Entry("trailing data", "{\"format\":1}x"),
		Entry("null", "null"),
		Entry("empty object", "{}"),
		Entry("unknown format", `{"format":2,"members":{},"accounts":{}}`),
		Entry("truncated record", `{"format":1,"acc`),
		Entry("null account", `{"format":1,"members":{},"accounts":{"a":null}}`),
		Entry("null tables", `{"format":1,"members":null,"accounts":null}`),
	)

	It("that grant more than they received yield an error", func() {
		record := budget.NewRegionRecord()
		record.Accounts[k] = &budget.RegionAccount{Rows: map[granitehoist.Incarnation]budget.Row{"b": {Totals: budget.Totals{Granted: 1}}}}
		raw, err := pack.Pack(record)
		Expect(err).NotTo(HaveOccurred())
		_, err = budget.DecodeRegionRecord(granitehoist.Entry{Value: raw, Version: 1})
		Expect(err).To(HaveOccurred())
	})

	It("that don't exist are decoded as empty", func() {
		record, err := budget.DecodeRegionRecord(granitehoist.Entry{})
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Accounts).To(BeEmpty())
	})
})
