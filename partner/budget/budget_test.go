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

// bench is a store, the keepers of two regions and a budget of 1,000 tokens.
type bench struct {
	store   *standin.Store
	prepaid granitehoist.Tokens
	serial  granitehoist.Serial
	now     time.Time
}

func newBench() *bench {
	b := &bench{prepaid: 1000, serial: 1, now: start}
	b.store = standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return b.now }})
	return b
}

func (b *bench) keeper(r granitehoist.Region) *budget.Keeper {
	return budget.NewKeeper(budget.KeeperSettings{
		Region: r,
		Store:  b.store,
		Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
			return b.prepaid, b.serial, true
		},
	})
}

// sync sends a purse's message to a keeper and applies the reply.
func (b *bench) sync(keeper *budget.Keeper, p *budget.Purse) error {
	asks, urgent := p.Asks(b.now)
	params := budget.SyncParams{Box: "box", Incarnation: p.Incarnation(), Asks: asks, Urgent: urgent}
	result, err := keeper.Sync(ctx, 0, params, b.now)
	if err == nil {
		p.Apply(asks, result.Replies, b.now)
	}
	return err
}

func (b *bench) overview() budget.Overview {
	GinkgoHelper()
	states, err := budget.ReadStates(ctx, b.store, 1, b.now)
	Expect(err).NotTo(HaveOccurred())
	return states.Of([]granitehoist.BudgetID{k}, func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
		return b.prepaid, b.serial, true
	})[0]
}

func newPurse(id granitehoist.Incarnation) *budget.Purse {
	return budget.NewPurse(budget.PurseSettings{Incarnation: id})
}

var _ = Describe("Purse", func() {
	var b *bench
	var keeper *budget.Keeper
	var p *budget.Purse
	BeforeEach(func() {
		b = newBench()
		keeper = b.keeper("tuul")
		p = newPurse("box-1")
	})

	It("reserves nothing that it does not hold", func() {
		Expect(p.Reserve(k, 1)).To(BeFalse())
		Expect(p.Reserve(k, 0)).To(BeTrue())
	})

	It("grants a waiting request and settles it to its use", func() {
		w := p.Wait(k, 300, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		Expect(w.Done).To(BeClosed())
		Expect(p.EndWait(k, w, b.now)).To(Equal(budget.Granted))
		p.Settle(k, 300, 120, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		Expect(b.overview().Charged).To(Equal(granitehoist.Tokens(120)))
	})

	It("refuses at once what the whole budget can't pay", func() {
		w := p.Wait(k, 1001, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		Expect(p.EndWait(k, w, b.now)).To(Equal(budget.Exhausted))
	})

	It("does not know of a budget while no keeper answers", func() {
		b.store.Fail(standin.StoreFaults{Down: true})
		w := p.Wait(k, 10, b.now)
		Expect(b.sync(keeper, p)).To(MatchError(granitehoist.ErrUnavailable))
		Expect(p.EndWait(k, w, b.now)).To(Equal(budget.Unreachable))
	})

	It("goes on from what it holds while the store is down", func() {
		Expect(p.EndWait(k, p.Wait(k, 0, b.now), b.now)).To(Equal(budget.Granted))
		w := p.Wait(k, 300, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		Expect(p.EndWait(k, w, b.now)).To(Equal(budget.Granted))
		b.store.Fail(standin.StoreFaults{Down: true})
		p.Settle(k, 300, 100, b.now)
		Expect(p.Reserve(k, 200)).To(BeTrue())
		Expect(p.Reserve(k, 1)).To(BeFalse())
	})

	It("keeps some requests in hand though it is quiet, if the budget has many", func() {
		b.prepaid = 2_000_000
		w := p.Wait(k, 300, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		Expect(p.EndWait(k, w, b.now)).To(Equal(budget.Granted))
		p.Settle(k, 300, 10, b.now)
		b.store.Fail(standin.StoreFaults{Down: true})
		for range 10 {
			Expect(p.Reserve(k, 300)).To(BeTrue())
		}
	})

	It("charges a use beyond the bound and owes it", func() {
		w := p.Wait(k, 100, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		Expect(p.EndWait(k, w, b.now)).To(Equal(budget.Granted))
		p.Settle(k, 100, 400, b.now)
		state := p.State(k, b.now)
		Expect(state.Totals.Spent).To(Equal(granitehoist.Tokens(400)))
		Expect(p.Reserve(k, 0)).To(Equal(state.Free >= 0))
	})

	It("lends half of what it can spare, once for a doubled message", func() {
		w := p.Wait(k, 400, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		Expect(p.EndWait(k, w, b.now)).To(Equal(budget.Granted))
		p.Settle(k, 400, 0, b.now)
		free := p.State(k, b.now).Free
		other := newPurse("box-2")
		waiter := other.Wait(k, free/2, b.now)
		ask, short := other.LoanRequest(k, p.Incarnation())
		Expect(short).To(BeTrue())
		first, second := p.Lend(ask, b.now), p.Lend(ask, b.now)
		Expect(second).To(Equal(first))
		Expect(first.Total).To(Equal(free / 2))
		other.TakeLoan(k, first)
		other.TakeLoan(k, second)
		Expect(other.EndWait(k, waiter, b.now)).To(Equal(budget.Granted))
		Expect(other.State(k, b.now).Totals.Held()).To(Equal(free / 2))
	})

	It("panics on what only a fault of the program can bring", func() {
		Expect(func() { p.Reserve(k, -1) }).To(Panic())
		Expect(func() { p.Settle(k, 1, 0, b.now) }).To(Panic())
		Expect(func() { budget.NewPurse(budget.PurseSettings{}) }).To(Panic())
	})
})

var _ = Describe("Keeper", func() {
	var b *bench
	var tuul, lima *budget.Keeper
	var p *budget.Purse
	BeforeEach(func() {
		b = newBench()
		tuul, lima = b.keeper("tuul"), b.keeper("lima")
		p = newPurse("box-1")
	})

	grant := func(keeper *budget.Keeper, p *budget.Purse, bound granitehoist.Tokens) budget.Outcome {
		GinkgoHelper()
		w := p.Wait(k, bound, b.now)
		Expect(b.sync(keeper, p)).To(Succeed())
		return p.EndWait(k, w, b.now)
	}

	It("lets the last token be spent, wherever it lay", func() {
		other := newPurse("box-2")
		Expect(grant(tuul, p, 600)).To(Equal(budget.Granted))
		p.Settle(k, 600, 1, b.now)
		w := other.Wait(k, 999, b.now)
		for range 4 {
			b.now = b.now.Add(time.Second)
			Expect(b.sync(lima, other)).To(Succeed())
			Expect(b.sync(tuul, p)).To(Succeed())
		}
		Expect(b.sync(lima, other)).To(Succeed())
		Expect(other.EndWait(k, w, b.now)).To(Equal(budget.Granted))
	})

	It("grants once though the answer of the store is lost", func() {
		b.store.Fail(standin.StoreFaults{LoseEvery: 2})
		Expect(grant(tuul, p, 1000)).To(Equal(budget.Granted))
		Expect(b.overview().Held["tuul"]).To(Equal(granitehoist.Tokens(1000)))
	})

	It("brings a top-up into use and no older document", func() {
		Expect(grant(tuul, p, 1000)).To(Equal(budget.Granted))
		b.prepaid, b.serial = 1500, 2
		Expect(grant(tuul, p, 400)).To(Equal(budget.Granted))
		b.prepaid, b.serial = 9000, 1
		Expect(grant(tuul, p, 400)).To(Equal(budget.Exhausted))
	})

	It("lets a reduction take force as tokens come back", func() {
		Expect(grant(tuul, p, 800)).To(Equal(budget.Granted))
		b.prepaid, b.serial = 500, 2
		other := newPurse("box-2")
		Expect(grant(lima, other, 100)).To(Equal(budget.Exhausted))
		Expect(b.overview().Unallocated).To(BeNumerically("<", 0))
		p.Settle(k, 800, 100, b.now)
		for range 4 {
			b.now = b.now.Add(time.Minute)
			Expect(b.sync(tuul, p)).To(Succeed())
		}
		Expect(b.overview().Unallocated).To(Equal(granitehoist.Tokens(400)))
	})

	It("shows what a silent box holds as in doubt", func() {
		Expect(grant(tuul, p, 300)).To(Equal(budget.Granted))
		Expect(b.overview().InDoubt).To(BeZero())
		b.now = b.now.Add(time.Minute)
		Expect(b.overview().InDoubt).To(Equal(granitehoist.Tokens(300)))
	})

	It("takes no message of a closed box, nor one that it can't know", func() {
		Expect(grant(tuul, p, 300)).To(Equal(budget.Granted))
		asks, _ := p.Asks(b.now)
		old := budget.SyncParams{Incarnation: "box-1", Asks: asks}
		p.Settle(k, 300, 100, b.now)
		p.Close()
		asks, _ = p.Asks(b.now)
		closing := budget.SyncParams{Incarnation: "box-1", Asks: asks, Closing: true}
		for range 2 {
			_, err := tuul.Sync(ctx, 0, closing, b.now)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := tuul.Sync(ctx, 0, old, b.now)
		Expect(err).To(MatchError(budget.ErrUnknownIncarnation))
		old.Incarnation = "box-9"
		old.Asks = []budget.Ask{{Budget: k, Totals: budget.Totals{Granted: 5}}}
		_, err = tuul.Sync(ctx, 0, old, b.now)
		Expect(err).To(MatchError(budget.ErrUnknownIncarnation))
		Expect(b.overview().Held["tuul"]).To(BeZero())
		Expect(b.overview().Charged).To(Equal(granitehoist.Tokens(100)))
	})

	It("leaves a record that it can't read as it is", func() {
		Expect(grant(tuul, p, 300)).To(Equal(budget.Granted))
		key := budget.RootKey(0)
		e, _ := b.store.Get(ctx, key)
		_, err := b.store.CompareAndSwap(ctx, granitehoist.Change{Key: key, Value: []byte("{}"), Expect: e.Version})
		Expect(err).NotTo(HaveOccurred())
		other := newPurse("box-2")
		w := other.Wait(k, 10, b.now)
		Expect(b.sync(lima, other)).NotTo(Succeed())
		Expect(other.EndWait(k, w, b.now)).To(Equal(budget.Unreachable))
		after, _ := b.store.Get(ctx, key)
		Expect(string(after.Value)).To(Equal("{}"))
	})

	It("serves messages that arrive together with one write", func() {
		const boxes = 20
		messages := make([]budget.SyncParams, boxes)
		for i := range messages {
			q := newPurse(granitehoist.Incarnation(string(rune('a' + i))))
			q.Wait(k, 10, b.now)
			asks, _ := q.Asks(b.now)
			messages[i] = budget.SyncParams{Incarnation: q.Incarnation(), Asks: asks}
		}
		results, err := tuul.SyncAll(ctx, 0, messages, b.now)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range results {
			Expect(r.Replies[0].Granted).To(BeNumerically(">=", 10))
		}
		Expect(b.store.Calls().Writes).To(Equal(2), "the root and the page")
	})
})

var _ = Describe("Records", func() {
	DescribeTable("that can't be read are errors and never empty",
		func(value string) {
			packed, err := pack.Pack(json.RawMessage(value))
			if err != nil {
				packed = []byte(value)
			}
			e := granitehoist.Entry{Key: "x", Value: packed, Version: 1}
			_, err = budget.DecodePage(e)
			Expect(err).To(HaveOccurred())
			_, err = budget.DecodeRoot(e)
			Expect(err).To(HaveOccurred())
		},
		Entry("nothing", ""),
		Entry("plain text", "{\"format\":1}x"),
		Entry("null", "null"),
		Entry("an empty object", "{}"),
		Entry("another format", `{"format":2,"members":{},"accounts":{}}`),
		Entry("half a record", `{"format":1,"acc`),
		Entry("an account that is null", `{"format":1,"members":{},"accounts":{"a":null}}`),
		Entry("no tables", `{"format":1,"members":null,"accounts":null}`),
	)

	It("that grant more than they received are errors", func() {
		page := budget.NewPage()
		page.Accounts[k] = &budget.PageAccount{Rows: map[granitehoist.Incarnation]budget.Row{"b": {Totals: budget.Totals{Granted: 1}}}}
		raw, err := pack.Pack(page)
		Expect(err).NotTo(HaveOccurred())
		_, err = budget.DecodePage(granitehoist.Entry{Value: raw, Version: 1})
		Expect(err).To(HaveOccurred())
	})

	It("that don't exist are empty", func() {
		page, err := budget.DecodePage(granitehoist.Entry{})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Accounts).To(BeEmpty())
	})
})
