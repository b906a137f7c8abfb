// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

const (
	// maxLenders bounds the neighbours that are asked for one shortage. Chosen, not
	// measured (e36d45a).
	maxLenders = 12
	// relaysAsked bounds the relays that are asked for one shortage or offered a
	// repayment. Chosen, not measured (0c0db10).
	relaysAsked = 3
	// relayWait is how long a relay waits for the store on behalf of a neighbour;
	// it leaves most of the neighbour's lendTimeout to the network and to another
	// relay. Chosen, not measured (c1de361).
	relayWait = 45 * time.Millisecond
)

// borrow asks neighbours, one after the other, until no request waits.
func (s *Syncer) borrow(ctx context.Context) {
	if s.settings.Caller == nil {
		return
	}
	for i, lender := range s.lenders() {
		shortages := s.settings.Ledger.waiterShortages(s.settings.Clock())
		if len(shortages) == 0 || i >= maxLenders || ctx.Err() != nil {
			return
		}
		for _, missing := range shortages {
			s.borrowFrom(ctx, lender, missing)
		}
	}
}

// borrowFrom asks one neighbour for one loan, and reports whether it is in touch
// with the store.
func (s *Syncer) borrowFrom(ctx context.Context, lender granitehoist.Peer, missing shortage) bool {
	ctx, cancel := context.WithTimeout(ctx, missing.timeout())
	defer cancel()
	params := LendParams{
		Borrower: s.settings.Ledger.settings.Incarnation, Workspace: missing.workspace,
		Need: missing.need, Want: missing.want, Rate: missing.rate, Idle: missing.idle,
	}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, lender, MethodLend, params, &result); err != nil {
		// Nothing is lost: a loan whose reply was lost is in the next total. The
		// lender is left out for a while and another one asked.
		s.avoid(lender)
		return false
	}
	if result.InTouch && !s.settings.Writes() {
		s.settings.Ledger.noteRelayAnswer(s.settings.Clock())
	}
	if s.settings.Ledger.Borrowed(missing.workspace, lender.Incarnation, result, s.settings.Clock()) {
		s.settings.Log.Info(event.BudgetLoan,
			zap.String("workspace", string(missing.workspace)), zap.String("lender", string(lender.Incarnation)),
			zap.Int64("total", int64(result.Total)))
	}
	return result.InTouch
}

// askRelays fills the holdings from relays, for all workspaces at once, and reports
// whether the record could add nothing: what a relay in touch with the store can't
// lend, the store does not have.
func (s *Syncer) askRelays(ctx context.Context) relayAnswer {
	shortages := s.settings.Ledger.holdingShortages(s.settings.Routers(), s.settings.Clock())
	lenders := s.lenders()
	lenders = lenders[:min(len(lenders), relaysAsked)]
	var unhelped atomic.Int32
	var asking sync.WaitGroup
	for _, missing := range shortages {
		asking.Go(func() {
			if !s.borrowFromAny(ctx, lenders, missing) {
				unhelped.Add(1)
			}
		})
	}
	asking.Wait()
	inTouch := unhelped.Load() == 0
	if !inTouch {
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	if s.settings.Ledger.noteRelaysAsked(inTouch) {
		return relaysHelped
	}
	return relaysFailed
}

// borrowFromAny asks one lender after the other until nothing is missing or one
// is in touch with the store: then the others can't do more. It reports whether
// either happened.
func (s *Syncer) borrowFromAny(ctx context.Context, lenders []granitehoist.Peer, missing shortage) bool {
	for _, lender := range lenders {
		if s.borrowFrom(ctx, lender, missing) {
			return true
		}
		if missing = s.settings.Ledger.holdingShortage(missing.workspace, s.settings.Routers(), s.settings.Clock()); missing.want == 0 {
			return true
		}
	}
	return false
}

// ServeLend answers a neighbour's call of MethodLend. A relay reserves what the
// borrower wants as a request does, and so asks the store if it owns too little;
// if that does not work out in relayWait, it lends what it has. A want below the
// need counts as the need. The error is always nil.
func (s *Syncer) ServeLend(ctx context.Context, p LendParams) (LendResult, error) {
	p.Want = max(p.Want, p.Need)
	if p.Need <= 0 || !s.settings.Serves() {
		return s.settings.Ledger.Lend(p, s.settings.Clock()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	if s.reserve(ctx, p.Workspace, claim{bound: p.Want, priority: granitehoist.MaxPriority, loan: true}) != Granted {
		return s.settings.Ledger.Lend(p, s.settings.Clock()), nil
	}
	return s.settings.Ledger.lendReserved(p, p.Want, s.settings.Clock()), nil
}
