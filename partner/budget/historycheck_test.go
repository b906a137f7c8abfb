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

// readRecords reads the root record and the regions' records while faults are disabled.
func (h *history) readRecords() (*budget.RootRecord, [2]*budget.RegionRecord, error) {
	h.store.Fail(standin.StoreFaults{})
	var regionRecords [2]*budget.RegionRecord
	entry, err := h.store.Get(ctx, budget.RootKey(0))
	if err != nil {
		return nil, regionRecords, err
	}
	root, err := budget.DecodeRootRecord(entry)
	if err != nil {
		return nil, regionRecords, err
	}
	for region := range regionRecords {
		entry, err := h.store.Get(ctx, budget.RegionKey(historyRegions[region], 0))
		if err != nil {
			return nil, regionRecords, err
		}
		if regionRecords[region], err = budget.DecodeRegionRecord(entry); err != nil {
			return nil, regionRecords, err
		}
	}
	return root, regionRecords, nil
}

// checkInvariants returns an error if tokens exist twice, a box overspends, or more is spent
// than was ever prepaid.
func (h *history) checkInvariants() error {
	faults := h.store.Faults()
	root, regionRecords, err := h.readRecords()
	h.store.Fail(faults)
	if err != nil {
		return err
	}
	account := root.Accounts[historyBudget]
	if account == nil {
		return nil
	}
	sum, spent := account.Unallocated(), granitehoist.Tokens(0)
	for _, record := range regionRecords {
		if a := record.Accounts[historyBudget]; a != nil {
			sum += a.Stock()
		}
	}
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.stopped...) {
		s := b.ledger.State(historyBudget, h.now)
		if s.Free < 0 {
			return eris.Errorf("box %s has %d free tokens", b.ledger.Incarnation(), s.Free)
		}
		sum += s.Totals.Spent + s.Totals.Held()
		spent += s.Totals.Spent
	}
	if sum > account.Prepaid {
		return eris.Errorf("%d tokens exist of %d prepaid", sum, account.Prepaid)
	}
	if spent > max(h.maxPrepaid, historyPrepaid) {
		return eris.Errorf("%d tokens spent of at most %d ever prepaid", spent, h.maxPrepaid)
	}
	return nil
}

// heal ends all faults, closes the boxes that have not crashed and returns an error if tokens
// were lost.
func (h *history) heal() error {
	h.store.Fail(standin.StoreFaults{})
	h.partitioned = [2]bool{}
	h.depth = maxInterruptDepth
	for _, l := range h.messages.loans {
		l.borrower.ledger.ApplyLoan(historyBudget, l.lender.ledger.Lend(budget.BorrowParams{Incarnation: l.borrower.ledger.Incarnation(), Budget: historyBudget}, h.now))
	}
	closing := append([]*historyBox(nil), h.boxes...)
	for _, b := range h.stopped {
		if b.closed {
			closing = append(closing, b)
		}
	}
	for range 3 {
		h.now = h.now.Add(time.Minute)
		for _, b := range closing {
			h.endWaits(b)
			for _, bound := range b.open {
				b.ledger.Settle(historyBudget, bound, 0, h.now)
			}
			b.open = nil
			b.ledger.Close()
			reports, _ := b.ledger.Reports(h.now)
			h.serve(b, budget.SyncParams{Incarnation: b.ledger.Incarnation(), Reports: reports, Closing: true, Urgent: true}, true)
		}
	}
	return h.checkConservation()
}

// checkConservation returns an error unless all prepaid tokens are accounted for.
func (h *history) checkConservation() error {
	root, regionRecords, err := h.readRecords()
	if err != nil {
		return err
	}
	account := root.Accounts[historyBudget]
	if account == nil {
		return nil
	}
	sum := account.Unallocated()
	for region, record := range regionRecords {
		a := record.Accounts[historyBudget]
		if a == nil {
			a = &budget.RegionAccount{}
		}
		row := account.Regions[historyRegions[region]]
		sum += a.Stock() + (row.Granted - a.Received) + (a.Returned - row.Returned)
	}
	var lent, borrowed granitehoist.Tokens
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.stopped...) {
		s := b.ledger.State(historyBudget, h.now)
		sum += s.Totals.Spent + s.Totals.Held()
		lent += s.Totals.Lent
		borrowed += s.Totals.Borrowed
	}
	sum += lent - borrowed + h.lostInTransit(regionRecords)
	if sum != account.Prepaid {
		return eris.Errorf("%d tokens can be found of %d prepaid", sum, account.Prepaid)
	}
	return nil
}

// lostInTransit returns the tokens in grants that crashed boxes did not receive and in
// returns that the region did not receive from them.
func (h *history) lostInTransit(regionRecords [2]*budget.RegionRecord) granitehoist.Tokens {
	var sum granitehoist.Tokens
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.stopped...) {
		a := regionRecords[b.region].Accounts[historyBudget]
		if a == nil || !b.crashed {
			continue
		}
		row := a.Rows[b.ledger.Incarnation()].Totals
		own := b.ledger.State(historyBudget, h.now).Totals
		sum += (row.Granted - own.Granted) + (own.Returned - row.Returned)
	}
	return sum
}
