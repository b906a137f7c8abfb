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
	// borrowAfter is how long a sync may take before neighbours are asked as well.
	// Chosen, not measured (f7eef06).
	borrowAfter = 20 * time.Millisecond
	// maxLenders bounds the neighbours that are asked for one shortage. Chosen, not
	// measured (e36d45a).
	maxLenders = 12
)

// Bounds of asking relays.
const (
	relaysAsked = 3
	// relayWait is how long a relay waits for the store on behalf of a
	// neighbour.
	relayWait = 45 * time.Millisecond
)

// borrow asks neighbours, one after the other, until no request waits.
func (s *Syncer) borrow(ctx context.Context) {
	if s.settings.Caller == nil {
		return
	}
	for i, lender := range s.lenders() {
		short := s.settings.Ledger.waitersLacks(s.settings.Clock())
		if len(short) == 0 || i >= maxLenders || ctx.Err() != nil {
			return
		}
		for _, missing := range short {
			s.borrowFrom(ctx, lender, missing)
		}
	}
}

// borrowFrom asks one neighbour for one loan, and reports whether it is in touch
// with the store.
func (s *Syncer) borrowFrom(ctx context.Context, lender granitehoist.Peer, missing shortage) bool {
	ctx, cancel := context.WithTimeout(ctx, missing.timeout())
	defer cancel()
	params := LendParams{Borrower: s.settings.Ledger.settings.Incarnation, Workspace: missing.workspace, Need: missing.need, Want: missing.want, Rate: missing.rate, Idle: missing.idle}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, lender, MethodLend, params, &result); err != nil {
		s.avoid(lender)
		return false
	}
	if result.InTouch && !s.settings.Writes() {
		s.settings.Ledger.noteRelayAnswer(s.settings.Clock())
	}
	if s.settings.Ledger.Borrowed(missing.workspace, lender.Incarnation, result, s.settings.Clock()) {
		s.settings.Log.Info(event.BudgetLoan, zap.String("workspace", string(missing.workspace)), zap.String("lender", string(lender.Incarnation)), zap.Int64("total", int64(result.Total)))
	}
	return result.InTouch
}

// replenish fills the holdings from relays, and reports whether they have done
// what can be done: the record can't help either where a relay that knows it
// does not.
func (s *Syncer) replenish(ctx context.Context) bool {
	low := s.settings.Ledger.lacks(s.settings.Routers(), s.settings.Clock())
	lenders := s.lenders()
	lenders = lenders[:min(len(lenders), relaysAsked)]
	var unhelped atomic.Int32
	var asking sync.WaitGroup
	for _, missing := range low {
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
	return s.settings.Ledger.replenished(inTouch)
}

// borrowFromAny asks one lender after the other until nothing is missing or one
// is in touch with the store: then the others can't do more. It reports whether
// one of the two came about.
func (s *Syncer) borrowFromAny(ctx context.Context, lenders []granitehoist.Peer, missing shortage) bool {
	for _, lender := range lenders {
		if s.borrowFrom(ctx, lender, missing) {
			return true
		}
		if missing = s.settings.Ledger.lackOf(missing.workspace, s.settings.Routers(), s.settings.Clock()); missing.want == 0 {
			return true
		}
	}
	return false
}

// ServeLend answers a neighbour's call of MethodLend. A relay that owns too
// little asks the store.
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
