// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// maxLendersPerRequest is the maximum number of lenders that are called for one
	// request: the holder and two stand-in holders. A sub-holder does not count.
	maxLendersPerRequest = 3
	// DefaultHedgeAfter is how long a lender may take before the next one is called as
	// well. It exceeds the usual time of a call between two routers and a write of the
	// record.
	DefaultHedgeAfter = 30 * time.Millisecond
	// lenderPollInterval is the time between two checks for lenders while a starting
	// router knows of none.
	lenderPollInterval = 10 * time.Millisecond
)

// borrowForRequest borrows for a waiting request and returns the outcome of its wait. It
// calls the lenders in order: the next one whenever a call ends and the request still
// waits, and also every HedgeAfter. The wait ends
//
//   - when the request is granted or refused;
//   - when ctx ends;
//   - when the calls to all lenders have ended. If none of them responded, the request
//     waits for a sync of the record instead.
//
// Calls in progress continue after the wait, since a late loan serves the next request.
func (s *Syncer) borrowForRequest(ctx context.Context, w granitehoist.Workspace, c claim, queued *waiter) Outcome {
	select {
	case outcome := <-queued.outcome:
		return outcome
	default:
	}
	lenders := s.waitForLenders(ctx, w)
	responses := make(chan bool, len(lenders))
	request := s.settings.Ledger.loanRequestFor(w, c)
	called, pending, responded := 0, 0, false
	callNext := func() {
		if called == len(lenders) {
			return
		}
		lender := lenders[called]
		called++
		pending++
		go func() { responses <- s.borrowFrom(context.WithoutCancel(ctx), lender, request) }()
	}
	callNext()
	hedge := time.NewTicker(s.settings.HedgeAfter + s.roundTrips.longest(lenders))
	defer hedge.Stop()
	for pending > 0 {
		select {
		case outcome := <-queued.outcome:
			return outcome
		case <-ctx.Done():
			return s.settings.Ledger.abandon(w, queued, s.settings.Clock())
		case <-hedge.C:
			callNext()
		case ok := <-responses:
			pending--
			responded = responded || ok
			callNext()
		}
	}
	if !responded && len(lenders) > 0 {
		return s.readRecordFor(ctx, w, queued)
	}
	return s.settings.Ledger.abandon(w, queued, s.settings.Clock())
}

// refill borrows the next batch for a workspace in the background if the batch is due.
// After a failure the next request tries again.
func (s *Syncer) refill(w granitehoist.Workspace) {
	request, needed := s.settings.Ledger.startRefill(w, s.settings.Clock())
	if !needed {
		return
	}
	go func() {
		defer s.settings.Ledger.endRefill(w)
		if lenders := s.lenders(w); len(lenders) > 0 {
			s.borrowFrom(context.Background(), lenders[0], request)
		}
	}()
}

// waitForLenders returns the lenders of a workspace. It waits until there are some or
// until ctx ends, so that routers that start together do not all use the record before
// they have read the list of the fleet.
func (s *Syncer) waitForLenders(ctx context.Context, w granitehoist.Workspace) []Lender {
	for {
		lenders := s.lenders(w)
		if len(lenders) > 0 || ctx.Err() != nil {
			limit := maxLendersPerRequest
			if len(lenders) > 0 && lenders[0].IsSubHolder {
				limit++
			}
			return lenders[:min(len(lenders), limit)]
		}
		pause.For(ctx, lenderPollInterval)
	}
}

// readRecordFor triggers a read of the record for a request that no lender responded to.
func (s *Syncer) readRecordFor(ctx context.Context, w granitehoist.Workspace, queued *waiter) Outcome {
	s.settings.Ledger.noteLendersFailed(w)
	s.TriggerSync()
	return s.wait(ctx, w, queued)
}

// loanRequestFor returns the loan that a borrower requests for a claim: its maximum cost,
// less the free tokens if no other request waits for them. The loan is at least one token
// in that case.
func (l *Ledger) loanRequestFor(w granitehoist.Workspace, c claim) loanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	need := c.maxCost
	if len(a.waiters) <= 1 {
		need = max(1, c.maxCost-max(0, a.owned.free()))
	}
	return loanRequest{workspace: w, need: need, want: need}
}
