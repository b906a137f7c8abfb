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
	b := h.randomBox()
	bound := granitehoist.Tokens(h.choose(historyMaxBound))
	if b.ledger.Reserve(historyBudget, bound) {
		b.open = append(b.open, bound)
	}
}

func (h *history) wait() {
	b := h.randomBox()
	bound := granitehoist.Tokens(h.choose(historyMaxBound))
	b.waiters = append(b.waiters, historyWaiter{b.ledger.Wait(historyBudget, bound, h.now), bound})
}

func (h *history) settle() {
	b := h.randomBox()
	h.endWaits(b)
	if len(b.open) == 0 {
		return
	}
	i := h.choose(len(b.open))
	bound := b.open[i]
	b.open = append(b.open[:i], b.open[i+1:]...)
	b.ledger.Settle(historyBudget, bound, granitehoist.Tokens(h.choose(int(bound)+1)), h.now)
}

func (h *history) endWaits(b *historyBox) {
	for _, w := range b.waiters {
		if b.ledger.EndWait(historyBudget, w.waiter, h.now) == budget.Granted {
			b.open = append(b.open, w.bound)
		}
	}
	b.waiters = nil
}

// maxSaved bounds the saved messages of each kind.
const maxSaved = 20

// appendCapped appends an item and keeps the last maxSaved ones.
func appendCapped[T any](list []T, item T) []T {
	list = append(list, item)
	return list[max(0, len(list)-maxSaved):]
}

// sync saves the message of a box and delivers it if arrives is set. The reply is saved too
// and applied if answered is set.
func (h *history) sync(b *historyBox, arrives, answered bool) {
	reports, urgent := b.ledger.Reports(h.now)
	params := budget.SyncParams{Box: "box", Incarnation: b.ledger.Incarnation(), Reports: reports, Urgent: urgent}
	h.messages.syncs = appendCapped(h.messages.syncs, savedSync{b, params})
	if arrives {
		h.serve(b, params, answered)
	}
}

func (h *history) serve(b *historyBox, params budget.SyncParams, answered bool) {
	results, err := h.allocators[b.region].SyncAll(ctx, 0, []budget.SyncParams{params}, h.now)
	if err != nil {
		return
	}
	h.messages.replies = appendCapped(h.messages.replies, savedReply{b, params.Reports, results[0].Replies})
	if answered {
		b.ledger.Apply(params.Reports, results[0].Replies, h.now)
	}
}

// redeliverSync delivers a saved message, late or again.
func (h *history) redeliverSync() {
	if len(h.messages.syncs) > 0 {
		m := h.messages.syncs[h.choose(len(h.messages.syncs))]
		h.serve(m.box, m.params, h.choose(2) == 0)
	}
}

// redeliverReply applies a saved reply, late or again.
func (h *history) redeliverReply() {
	if len(h.messages.replies) > 0 {
		r := h.messages.replies[h.choose(len(h.messages.replies))]
		r.box.ledger.Apply(r.reports, r.replies, h.now)
	}
}

func (h *history) borrow() {
	borrower, lender := h.randomBox(), h.randomBox()
	params, short := borrower.ledger.LoanRequest(historyBudget, lender.ledger.Incarnation())
	if !short || borrower == lender {
		return
	}
	h.messages.loans = appendCapped(h.messages.loans, savedLoan{lender, borrower, params})
	result := lender.ledger.Lend(params, h.now)
	h.messages.results = appendCapped(h.messages.results, savedResult{borrower, result})
	if h.choose(2) == 0 {
		borrower.ledger.ApplyLoan(historyBudget, result)
	}
}

// redeliverLoan sends a saved loan request to its lender again.
func (h *history) redeliverLoan() {
	if len(h.messages.loans) > 0 {
		l := h.messages.loans[h.choose(len(h.messages.loans))]
		h.messages.results = appendCapped(h.messages.results, savedResult{l.borrower, l.lender.ledger.Lend(l.params, h.now)})
	}
}

// redeliverResult applies a saved loan, late or again.
func (h *history) redeliverResult() {
	if len(h.messages.results) > 0 {
		r := h.messages.results[h.choose(len(h.messages.results))]
		r.borrower.ledger.ApplyLoan(historyBudget, r.result)
	}
}

// crashBox replaces a box without settling or returning anything.
func (h *history) crashBox() {
	if h.choose(4) != 0 {
		return
	}
	h.replaceBox(func(b *historyBox) { b.crashed = true })
}

// closeBox stops a box gracefully and replaces it. Its last message may be lost.
func (h *history) closeBox() {
	if h.choose(4) != 0 {
		return
	}
	h.replaceBox(func(b *historyBox) {
		h.endWaits(b)
		for _, bound := range b.open {
			b.ledger.Settle(historyBudget, bound, bound/2, h.now)
		}
		b.open = nil
		b.ledger.Close()
		b.closed = true
		h.sendClosing(b)
	})
}

func (h *history) sendClosing(b *historyBox) {
	reports, _ := b.ledger.Reports(h.now)
	params := budget.SyncParams{Box: "box", Incarnation: b.ledger.Incarnation(), Reports: reports, Closing: true}
	h.messages.syncs = appendCapped(h.messages.syncs, savedSync{b, params})
	if h.choose(2) == 0 {
		h.serve(b, params, true)
	}
}

func (h *history) replaceBox(end func(*historyBox)) {
	i := h.choose(len(h.boxes))
	old := h.boxes[i]
	h.boxes[i] = h.newBox(old.region)
	h.stopped = append(h.stopped, old)
	end(old)
}

func (h *history) injectStoreFaults() {
	faults := []standin.StoreFaults{{}, {}, {Down: true}, {Hang: true}, {LoseEvery: 2}, {DropEvery: 2}, {LoseEvery: 3, DropEvery: 2}}
	h.store.Fail(faults[h.choose(len(faults))])
}

func (h *history) partitionRegion() {
	h.partitioned[h.choose(2)] = h.choose(2) == 0
}

func (h *history) advanceTime() {
	h.now = h.now.Add(time.Duration(h.choose(40)) * time.Second)
}

// changePrepaid tops up or reduces the budget.
func (h *history) changePrepaid() {
	if h.choose(4) != 0 {
		return
	}
	h.prepaid = granitehoist.Tokens(h.choose(2 * historyPrepaid))
	h.maxPrepaid = max(h.maxPrepaid, h.prepaid)
	h.serial++
}
