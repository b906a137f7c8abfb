// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

func (h *history) reserve() {
	b := h.box()
	bound := granitehoist.Tokens(h.choose(historyMost))
	if b.purse.Reserve(historyBudget, bound) {
		b.open = append(b.open, bound)
	}
}

func (h *history) wait() {
	b := h.box()
	bound := granitehoist.Tokens(h.choose(historyMost))
	b.waiters = append(b.waiters, historyWaiter{b.purse.Wait(historyBudget, bound, h.now), bound})
}

func (h *history) settle() {
	b := h.box()
	h.endWaits(b)
	if len(b.open) == 0 {
		return
	}
	i := h.choose(len(b.open))
	bound := b.open[i]
	b.open = append(b.open[:i], b.open[i+1:]...)
	b.purse.Settle(historyBudget, bound, granitehoist.Tokens(h.choose(int(bound)+1)), h.now)
}

func (h *history) endWaits(b *historyBox) {
	for _, w := range b.waiters {
		if b.purse.EndWait(historyBudget, w.waiter, h.now) == budget.Granted {
			b.open = append(b.open, w.bound)
		}
	}
	b.waiters = nil
}

// mostSaved bounds the messages of each kind that are saved.
const mostSaved = 20

// save adds an item to the last ones.
func save[T any](list []T, item T) []T {
	list = append(list, item)
	return list[max(0, len(list)-mostSaved):]
}

// sync sends a box's message, which arrives or is only saved, and so is the
// reply.
func (h *history) sync(b *historyBox, arrives, answered bool) {
	asks, urgent := b.purse.Asks(h.now)
	params := budget.SyncParams{Box: "box", Incarnation: b.purse.Incarnation(), Asks: asks, Urgent: urgent}
	h.saved.syncs = save(h.saved.syncs, savedSync{b, params})
	if arrives {
		h.serve(b, params, answered)
	}
}

func (h *history) serve(b *historyBox, params budget.SyncParams, answered bool) {
	results, err := h.keepers[b.region].SyncAll(ctx, 0, []budget.SyncParams{params}, h.now)
	if err != nil {
		return
	}
	h.saved.replies = save(h.saved.replies, savedReply{b, params.Asks, results[0].Replies})
	if answered {
		b.purse.Apply(params.Asks, results[0].Replies, h.now)
	}
}

// deliver brings an old message, perhaps once more.
func (h *history) deliver() {
	if len(h.saved.syncs) > 0 {
		m := h.saved.syncs[h.choose(len(h.saved.syncs))]
		h.serve(m.box, m.params, h.choose(2) == 0)
	}
}

func (h *history) apply() {
	if len(h.saved.replies) > 0 {
		r := h.saved.replies[h.choose(len(h.saved.replies))]
		r.box.purse.Apply(r.asks, r.replies, h.now)
	}
}

func (h *history) borrow() {
	borrower, lender := h.box(), h.box()
	params, short := borrower.purse.LoanRequest(historyBudget, lender.purse.Incarnation())
	if !short || borrower == lender {
		return
	}
	h.saved.loans = save(h.saved.loans, savedLoan{lender, borrower, params})
	result := lender.purse.Lend(params, h.now)
	h.saved.results = save(h.saved.results, savedResult{borrower, result})
	if h.choose(2) == 0 {
		borrower.purse.TakeLoan(historyBudget, result)
	}
}

func (h *history) lendAgain() {
	if len(h.saved.loans) > 0 {
		l := h.saved.loans[h.choose(len(h.saved.loans))]
		h.saved.results = save(h.saved.results, savedResult{l.borrower, l.lender.purse.Lend(l.params, h.now)})
	}
}

func (h *history) takeAgain() {
	if len(h.saved.results) > 0 {
		r := h.saved.results[h.choose(len(h.saved.results))]
		r.borrower.purse.TakeLoan(historyBudget, r.result)
	}
}

// kill ends a box with whatever it holds and has open, and replaces it.
func (h *history) kill() {
	if h.choose(4) != 0 {
		return
	}
	h.replaceBox(func(b *historyBox) { b.dead = true })
}

// closeBox stops a box in good order: its last message may be lost.
func (h *history) closeBox() {
	if h.choose(4) != 0 {
		return
	}
	h.replaceBox(func(b *historyBox) {
		h.endWaits(b)
		for _, bound := range b.open {
			b.purse.Settle(historyBudget, bound, bound/2, h.now)
		}
		b.open = nil
		b.purse.Close()
		b.closed = true
		h.sendClosing(b)
	})
}

func (h *history) sendClosing(b *historyBox) {
	asks, _ := b.purse.Asks(h.now)
	params := budget.SyncParams{Box: "box", Incarnation: b.purse.Incarnation(), Asks: asks, Closing: true}
	h.saved.syncs = save(h.saved.syncs, savedSync{b, params})
	if h.choose(2) == 0 {
		h.serve(b, params, true)
	}
}

func (h *history) replaceBox(end func(*historyBox)) {
	i := h.choose(len(h.boxes))
	old := h.boxes[i]
	h.boxes[i] = h.newBox(old.region)
	h.ended = append(h.ended, old)
	end(old)
}

func (h *history) disturbStore() {
	faults := []standin.StoreFaults{{}, {}, {Down: true}, {Silent: true}, {LoseEvery: 2}, {DropEvery: 2}, {LoseEvery: 3, DropEvery: 2}}
	h.store.Fail(faults[h.choose(len(faults))])
}

func (h *history) cutRegion() {
	h.cut[h.choose(2)] = h.choose(2) == 0
}

func (h *history) pass() {
	h.now = h.now.Add(time.Duration(h.choose(40)) * time.Second)
}

// prepay tops the budget up or reduces it.
func (h *history) prepay() {
	if h.choose(4) != 0 {
		return
	}
	h.prepaid = granitehoist.Tokens(h.choose(2 * historyPrepaid))
	h.most = max(h.most, h.prepaid)
	h.serial++
}
