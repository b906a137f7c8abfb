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
	// maxLenders bounds the neighbours that are asked for one shortage.
	maxLenders = 12
	// DefaultLendWait is how long a lender waits for the store on behalf of a neighbour;
	// it leaves most of the neighbour's lendTimeout to the network and to another lender.
	DefaultLendWait = 45 * time.Millisecond
)

// borrow asks neighbours, one after the other, until no request waits.
func (s *Syncer) borrow(ctx context.Context) {
	if s.settings.Caller == nil {
		return
	}
	lenders := map[granitehoist.Workspace][]Lender{}
	for i := range maxLenders {
		asked := false
		for _, missing := range s.settings.Ledger.waiterShortages(s.settings.Clock()) {
			if _, ok := lenders[missing.workspace]; !ok {
				lenders[missing.workspace] = s.lenders(missing.workspace)
			}
			if i >= len(lenders[missing.workspace]) || ctx.Err() != nil {
				continue
			}
			asked = true
			s.borrowFrom(ctx, lenders[missing.workspace][i], missing)
		}
		if !asked {
			return
		}
	}
}

// borrowFrom asks one neighbour for one loan, and reports whether it answered.
func (s *Syncer) borrowFrom(ctx context.Context, lender Lender, missing shortage) bool {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	params := LendParams{
		Borrower: s.settings.Ledger.settings.Incarnation, Workspace: missing.workspace,
		Need: missing.need, Want: missing.want, StandIn: lender.StandsIn,
	}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, lender.Peer, MethodLend, params, &result); err != nil {
		// Nothing is lost: a loan whose reply was lost is in the next total. The
		// lender is left out for a while and another one asked.
		s.avoid(lender)
		return false
	}
	s.settings.Ledger.noteHolder(missing.workspace, result.InTouch, s.settings.Clock())
	if s.settings.Ledger.Borrowed(missing.workspace, lender.Incarnation, result, s.settings.Clock()) {
		s.settings.Log.Info(event.BudgetLoan,
			zap.String("workspace", string(missing.workspace)), zap.String("lender", string(lender.Incarnation)),
			zap.Int64("total", int64(result.Total)))
	}
	return true
}

// ServeLend answers a neighbour's call of MethodLend. A router that uses the record
// reserves what the borrower wants as a request does, and so asks the store if it
// owns too little; if that does not work out in LendWait, it lends what it has. One
// that lends to a whole fleet does not keep the borrower waiting for a store that is
// silent. A want below the need counts as the need. The error is always nil.
func (s *Syncer) ServeLend(ctx context.Context, p LendParams) (LendResult, error) {
	p.Want = max(p.Want, p.Need)
	ledger, now := s.settings.Ledger, s.settings.Clock()
	if p.StandIn {
		ledger.standIn(p.Workspace, now)
	}
	role := ledger.Role(p.Workspace, now)
	if p.Need <= 0 || role == Asks {
		return ledger.Lend(p, now), nil
	}
	c := claim{bound: p.Want, priority: granitehoist.MaxPriority, loan: true, counts: role.lends()}
	if s.reserveForLoan(ctx, p.Workspace, c, role) {
		return ledger.lendReserved(p, p.Want, s.settings.Clock()), nil
	}
	return ledger.Lend(p, s.settings.Clock()), nil
}

// reserveForLoan reserves for a loan, and reports whether it did.
func (s *Syncer) reserveForLoan(ctx context.Context, w granitehoist.Workspace, c claim, role Role) bool {
	if role.lends() && s.settings.Ledger.isStoreSilent() {
		granted := s.settings.Ledger.reserve(w, c, s.settings.Clock())
		if !granted {
			// The store is tried again for the next borrower.
			s.Kick()
		}
		return granted
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.LendWait)
	defer cancel()
	return s.reserve(ctx, w, c) == Granted
}
