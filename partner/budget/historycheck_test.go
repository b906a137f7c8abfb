// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

// records reads the root and the pages past all faults.
func (h *history) records() (*budget.Root, [2]*budget.Page, error) {
	h.store.Fail(standin.StoreFaults{})
	var pages [2]*budget.Page
	entry, err := h.store.Get(ctx, budget.RootKey(0))
	if err != nil {
		return nil, pages, err
	}
	root, err := budget.DecodeRoot(entry)
	if err != nil {
		return nil, pages, err
	}
	for region := range pages {
		entry, err := h.store.Get(ctx, budget.PageKey(historyRegions[region], 0))
		if err != nil {
			return nil, pages, err
		}
		if pages[region], err = budget.DecodePage(entry); err != nil {
			return nil, pages, err
		}
	}
	return root, pages, nil
}

// check returns an error if a token exists twice or a promise is broken.
func (h *history) check() error {
	faults := h.store.Faults()
	root, pages, err := h.records()
	h.store.Fail(faults)
	if err != nil {
		return err
	}
	account := root.Accounts[historyBudget]
	if account == nil {
		return nil
	}
	sum, spent := account.Unallocated(), granitehoist.Tokens(0)
	for _, p := range pages {
		if a := p.Accounts[historyBudget]; a != nil {
			sum += a.Stock()
		}
	}
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.ended...) {
		s := b.purse.State(historyBudget, h.now)
		if s.Free < 0 {
			return eris.Errorf("box %s has %d free tokens", b.purse.Incarnation(), s.Free)
		}
		sum += s.Totals.Spent + s.Totals.Held()
		spent += s.Totals.Spent
	}
	if sum > account.Prepaid {
		return eris.Errorf("%d tokens exist of %d prepaid", sum, account.Prepaid)
	}
	if spent > max(h.most, historyPrepaid) {
		return eris.Errorf("%d tokens spent of at most %d ever prepaid", spent, h.most)
	}
	return nil
}

// heal ends all faults, lets every box that lives stop in good order, and
// returns an error if a token was lost that nobody holds.
func (h *history) heal() error {
	h.store.Fail(standin.StoreFaults{})
	h.cut = [2]bool{}
	h.depth = deepest
	for _, l := range h.saved.loans {
		l.borrower.purse.TakeLoan(historyBudget, l.lender.purse.Lend(budget.BorrowParams{Incarnation: l.borrower.purse.Incarnation(), Budget: historyBudget}, h.now))
	}
	closing := append([]*historyBox(nil), h.boxes...)
	for _, b := range h.ended {
		if b.closed {
			closing = append(closing, b)
		}
	}
	for range 3 {
		h.now = h.now.Add(time.Minute)
		for _, b := range closing {
			h.endWaits(b)
			for _, bound := range b.open {
				b.purse.Settle(historyBudget, bound, 0, h.now)
			}
			b.open = nil
			b.purse.Close()
			asks, _ := b.purse.Asks(h.now)
			h.serve(b, budget.SyncParams{Incarnation: b.purse.Incarnation(), Asks: asks, Closing: true, Urgent: true}, true)
		}
	}
	return h.checkNothingLost()
}

func (h *history) checkNothingLost() error {
	root, pages, err := h.records()
	if err != nil {
		return err
	}
	account := root.Accounts[historyBudget]
	if account == nil {
		return nil
	}
	sum := account.Unallocated()
	for region, p := range pages {
		a := p.Accounts[historyBudget]
		if a == nil {
			a = &budget.PageAccount{}
		}
		row := account.Regions[historyRegions[region]]
		sum += a.Stock() + (row.Given - a.Received) + (a.Sent - row.Back)
	}
	var lent, borrowed granitehoist.Tokens
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.ended...) {
		s := b.purse.State(historyBudget, h.now)
		sum += s.Totals.Spent + s.Totals.Held()
		lent += s.Totals.Lent
		borrowed += s.Totals.Borrowed
	}
	sum += lent - borrowed + h.unreceived(pages)
	if sum != account.Prepaid {
		return eris.Errorf("%d tokens can be found of %d prepaid", sum, account.Prepaid)
	}
	return nil
}

// unreceived returns the tokens that pages granted and boxes returned without
// the other side having heard, which only dead boxes leave behind.
func (h *history) unreceived(pages [2]*budget.Page) granitehoist.Tokens {
	var sum granitehoist.Tokens
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.ended...) {
		a := pages[b.region].Accounts[historyBudget]
		if a == nil || !b.dead {
			continue
		}
		row := a.Rows[b.purse.Incarnation()].Totals
		own := b.purse.State(historyBudget, h.now).Totals
		sum += (row.Granted - own.Granted) + (own.Returned - row.Returned)
	}
	return sum
}
