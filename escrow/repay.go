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

// maxGiveTries bounds the neighbours that are offered one workspace's tokens.
const maxGiveTries = 3

// ServeRepay answers a neighbour's call of MethodRepay. A total of zero only asks
// whether this router would take tokens; ErrUnavailable says that it stops and
// would not.
func (s *Syncer) ServeRepay(_ context.Context, p RepayParams) (LendResult, error) {
	now := s.settings.Clock()
	if p.Total == 0 && s.settings.Ledger.isClosing() {
		// What is given now would be lost with this router.
		return LendResult{}, granitehoist.ErrUnavailable
	}
	s.settings.Ledger.repaid(p, now)
	return s.settings.Ledger.report(p.Workspace, p.Giver, now), nil
}

// repayLoop gives holders back what requests left over, until ctx ends.
func (s *Syncer) repayLoop(ctx context.Context) {
	for {
		pause.For(ctx, untilNextLook(s.settings.Interval, rand.Float64()))
		if ctx.Err() != nil {
			return
		}
		s.repaySurplus(ctx)
	}
}

// repaySurplus gives what this router has free of workspaces whose holders it asks
// to the first lender that takes it.
func (s *Syncer) repaySurplus(ctx context.Context) {
	ledger, now := s.settings.Ledger, s.settings.Clock()
	for _, extra := range ledger.surpluses(s.settings.Routers(), now) {
		if ledger.Role(extra.workspace, now) == Asks {
			s.give(ctx, extra)
		}
	}
}

// handOver gives what is free to neighbours when the router stops and the store
// does not take it back. They may spend it, and return it when the store answers.
func (s *Syncer) handOver(ctx context.Context) {
	for _, free := range s.settings.Ledger.surpluses(s.settings.Routers(), s.settings.Clock()) {
		s.give(ctx, free)
	}
}

// give gives tokens to the first lender of their workspace that takes them.
func (s *Syncer) give(ctx context.Context, extra surplus) {
	for i, to := range s.lenders(extra.workspace) {
		if i >= maxGiveTries || s.offer(ctx, to.Peer, extra) {
			return
		}
	}
}

// offer gives tokens to a neighbour in two calls: the first asks whether it takes
// them, the second gives. It reports whether the tokens have been deducted here.
func (s *Syncer) offer(ctx context.Context, to granitehoist.Peer, extra surplus) bool {
	ctx, cancel := context.WithTimeout(ctx, repayTimeout)
	defer cancel()
	// A neighbour that can't be reached must not be given anything. Its error needs
	// no handling: nothing has been given, and the next neighbour is asked.
	ask := RepayParams{Giver: s.settings.Ledger.settings.Incarnation, Workspace: extra.workspace}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, to, MethodRepay, ask, &result); err != nil {
		return false
	}
	repayment := s.settings.Ledger.repay(to.Incarnation, extra)
	if err := s.settings.Caller.Call(ctx, to, MethodRepay, repayment, &result); err != nil {
		// The tokens may have arrived, so they are not taken back. The next message
		// to this neighbour has a total that includes them.
		s.settings.Log.Warn(event.BudgetSyncFailed, zap.Error(err))
		return true
	}
	s.settings.Log.Info(event.BudgetRepaid,
		zap.String("workspace", string(extra.workspace)), zap.String("to", string(to.Incarnation)),
		zap.Int64("total", int64(repayment.Total)))
	return true
}
