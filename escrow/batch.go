// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// batchCover is how long a batch lasts at the router's rate of spending. A batch is the
	// tokens that a borrower borrows for future requests. batchCover leaves time to borrow
	// the next batch, and is short compared to a holder's cover.
	batchCover = 2 * time.Second
	// minBatchRequests is the minimum size of a batch, in requests of the mean maximum
	// cost. A router that expects fewer requests in batchCover borrows for each request,
	// since batches at many routers would tie up much of a budget.
	minBatchRequests = 4
	// batchRefillThreshold is the fraction of a batch under which the next batch is
	// borrowed.
	batchRefillThreshold = 0.5
)

// batchSizeFor returns the size of a borrower's batch: what it spends in batchCover at
// perSecond tokens a second. If that is less than minBatchRequests times mean, the mean
// maximum cost of its requests, the size is zero. A router that receives all requests of
// a workspace then calls its holder about once a second instead of once per request.
func batchSizeFor(perSecond, mean float64) granitehoist.Tokens {
	size := perSecond * batchCover.Seconds()
	if size < minBatchRequests*mean {
		return 0
	}
	return granitehoist.Tokens(size)
}

// batchSize returns the size of this router's batch as a borrower.
func (a *account) batchSize(now time.Time) granitehoist.Tokens {
	return batchSizeFor(a.demand.rate.value(now), a.demand.mean)
}

// startRefill returns the loan for the next batch and reports whether it is due. After
// the call to the lender the caller must call endRefill; until then no other refill is
// due.
func (l *Ledger) startRefill(w granitehoist.Workspace, now time.Time) (loanRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	size := a.batchSize(now)
	free := a.owned.free()
	if size == 0 || a.refilling || float64(free) >= batchRefillThreshold*float64(size) || !l.role(w, a, now).borrows() {
		return loanRequest{}, false
	}
	a.refilling = true
	return loanRequest{workspace: w, need: 1, want: size - max(0, free)}, true
}

// endRefill marks the refill that startRefill began as finished.
func (l *Ledger) endRefill(w granitehoist.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(w).refilling = false
}
