// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

const (
	// maxLendersPerRound is the maximum number of neighbours that Syncer.borrow calls for
	// a workspace.
	maxLendersPerRound = 12
	// DefaultLendWait is how long a lender waits for the store on behalf of a neighbour.
	// It is well below lendTimeout, to leave time for the network and for another
	// lender.
	DefaultLendWait = 45 * time.Millisecond
)

// borrow borrows for the waiting requests of all workspaces. For each workspace it calls
// the lenders in order, until no request waits or maxLendersPerRound have been called.
func (s *Syncer) borrow(ctx context.Context) {
	if s.settings.Caller == nil {
		return
	}
	lenders := map[granitehoist.Workspace][]Lender{}
	for i := range maxLendersPerRound {
		called := false
		for _, request := range s.settings.Ledger.loanRequestsForWaiters(s.settings.Clock()) {
			if _, ok := lenders[request.workspace]; !ok {
				lenders[request.workspace] = s.lenders(request.workspace)
			}
			if i >= len(lenders[request.workspace]) || ctx.Err() != nil {
				continue
			}
			called = true
			s.borrowFrom(ctx, lenders[request.workspace][i], request)
		}
		if !called {
			return
		}
	}
}

// borrowFrom calls one neighbour for one loan, and reports whether it responded.
func (s *Syncer) borrowFrom(ctx context.Context, lender Lender, request loanRequest) bool {
	// A new connection takes a round trip more.
	ctx, cancel := context.WithTimeout(ctx, lendTimeout+2*s.roundTrips.of(lender))
	defer cancel()
	params := LendParams{
		Borrower: s.settings.Ledger.settings.Incarnation, Workspace: request.workspace,
		Need: request.need, Want: request.want, StandIn: lender.IsStandIn,
	}
	var result LendResult
	calledAt := s.settings.Clock()
	if err := s.settings.Caller.Call(ctx, lender.Peer, MethodLend, params, &result); err != nil {
		// A loan whose response was lost is included in the next total. Exclude the
		// lender for a while so that another one is called.
		s.exclude(lender)
		return false
	}
	if lender.IsFar {
		s.roundTrips.observe(lender.Address, s.settings.Clock().Sub(calledAt))
	}
	// A sub-holder that lends from its batch may not have heard from the holder lately,
	// which says nothing about the store.
	if result.StoreConnected || !lender.IsSubHolder || result.Total == s.settings.Ledger.borrowedFrom(request.workspace, lender.Incarnation) {
		s.settings.Ledger.noteHolderStatus(request.workspace, result.StoreConnected, s.settings.Clock())
	}
	if s.settings.Ledger.RecordLoan(request.workspace, lender.Incarnation, result, s.settings.Clock()) {
		s.settings.Log.Info(event.BudgetLoan,
			zap.String("workspace", string(request.workspace)), zap.String("lender", string(lender.Incarnation)),
			zap.Int64("total", int64(result.Total)))
	}
	return true
}

// ServeLend handles a neighbour's call of MethodLend. A Want below Need counts as Need.
// The error is always nil.
//
// A borrower, and any router if Need is not positive, lends at once as Ledger.Lend does.
// A router of another role first tries to reserve Want. If it has too few free tokens, it
// triggers a sync and waits up to LendWait; a holder does not wait while the store is
// unresponsive, and a sub-holder borrows instead of the sync. If it could reserve Want, it
// lends that amount, otherwise what Ledger.Lend gives.
func (s *Syncer) ServeLend(ctx context.Context, p LendParams) (LendResult, error) {
	p.Want = max(p.Want, p.Need)
	ledger, now := s.settings.Ledger, s.settings.Clock()
	if p.StandIn {
		ledger.standIn(p.Workspace, now)
	}
	role := ledger.Role(p.Workspace, now)
	if p.Need <= 0 || role == RoleBorrower {
		return ledger.Lend(p, now), nil
	}
	c := claim{maxCost: p.Want, priority: granitehoist.MaxPriority, isLoan: true, countsAsDemand: role.lends()}
	reserved := s.reserveForLoan(ctx, p.Workspace, c, role)
	if role == RoleSubHolder {
		s.refill(p.Workspace)
	}
	if reserved {
		return ledger.lendReserved(p, p.Want, s.settings.Clock()), nil
	}
	return ledger.Lend(p, s.settings.Clock()), nil
}

// reserveForLoan tries to reserve the tokens of a loan, as described at ServeLend, and
// reports whether it did.
func (s *Syncer) reserveForLoan(ctx context.Context, w granitehoist.Workspace, c claim, role Role) bool {
	if role.isHolder() && s.settings.Ledger.isStoreUnresponsive() {
		granted := s.settings.Ledger.reserve(w, c, s.settings.Clock())
		if !granted {
			// Try the store again for the next borrower.
			s.TriggerSync()
		}
		return granted
	}
	wait := s.settings.LendWait
	if role == RoleSubHolder {
		wait += s.roundTrips.longest(s.lenders(w))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return s.reserve(ctx, w, c) == Granted
}
