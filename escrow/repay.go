// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

// maxTransferTries is the maximum number of neighbours that are offered one workspace's
// tokens.
const maxTransferTries = 3

// ServeRepay handles a neighbour's call of MethodRepay. A total of zero only asks
// whether this router accepts tokens; the error is ErrUnavailable if this router is
// closing. Other totals are always accepted.
func (s *Syncer) ServeRepay(_ context.Context, p RepayParams) (LendResult, error) {
	now := s.settings.Clock()
	if p.Total == 0 && s.settings.Ledger.isClosing() {
		// Tokens accepted now would be lost with this router.
		return LendResult{}, granitehoist.ErrUnavailable
	}
	s.settings.Ledger.noteRepayment(p, now)
	return s.settings.Ledger.report(p.Workspace, p.Sender, now), nil
}

// repayLoop repays surplus tokens to holders until ctx ends.
func (s *Syncer) repayLoop(ctx context.Context) {
	for {
		pause.For(ctx, nextCheckDelay(s.settings.Interval, rand.Float64()))
		if ctx.Err() != nil {
			return
		}
		s.repaySurplus(ctx)
	}
}

// repaySurplus transfers the surplus tokens of workspaces for which this router is a
// borrower to the first lender that accepts them.
func (s *Syncer) repaySurplus(ctx context.Context) {
	ledger, now := s.settings.Ledger, s.settings.Clock()
	for _, extra := range ledger.surpluses(s.settings.Routers(), now) {
		if ledger.Role(extra.workspace, now).borrows() {
			s.transfer(ctx, extra)
		}
	}
}

// transferAll transfers all free tokens to neighbours when the router shuts down and the
// store does not accept them. The neighbours may spend the tokens, or return them once
// the store responds.
func (s *Syncer) transferAll(ctx context.Context) {
	for _, free := range s.settings.Ledger.surpluses(s.settings.Routers(), s.settings.Clock()) {
		s.transfer(ctx, free)
	}
}

// transfer transfers tokens to the first lender of their workspace that accepts them.
func (s *Syncer) transfer(ctx context.Context, extra surplus) {
	for i, to := range s.lenders(extra.workspace) {
		if i >= maxTransferTries || s.transferTo(ctx, to.Peer, extra) {
			return
		}
	}
}

// transferTo transfers tokens to a neighbour in two calls: the first asks whether the
// neighbour accepts them, the second transfers them. It reports whether the tokens were
// deducted from this router's tokens.
func (s *Syncer) transferTo(ctx context.Context, to granitehoist.Peer, extra surplus) bool {
	ctx, cancel := context.WithTimeout(ctx, repayTimeout)
	defer cancel()
	// Nothing is deducted before the neighbour has accepted. If the call fails, the error
	// is dropped and the caller tries the next neighbour.
	ask := RepayParams{Sender: s.settings.Ledger.settings.Incarnation, Workspace: extra.workspace}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, to, MethodRepay, ask, &result); err != nil {
		return false
	}
	repayment := s.settings.Ledger.repay(to.Incarnation, extra, s.settings.Clock())
	if err := s.settings.Caller.Call(ctx, to, MethodRepay, repayment, &result); err != nil {
		// The tokens may have arrived, so they stay deducted. The total of the next
		// message to this neighbour includes them.
		s.settings.Log.Warn(event.BudgetSyncFailed, zap.Error(err))
		return true
	}
	s.settings.Log.Info(event.BudgetRepaid,
		zap.String("workspace", string(extra.workspace)), zap.String("to", string(to.Incarnation)),
		zap.Int64("total", int64(repayment.Total)))
	return true
}
