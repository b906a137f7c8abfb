// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

// maxHandOverTries bounds the neighbours that are offered one workspace's tokens at
// a stop. Chosen, not measured (ed11c68).
const maxHandOverTries = 3

// ServeRepay answers a neighbour's call of MethodRepay. A total of zero only asks
// whether this router would take tokens; ErrUnavailable says that it stops and
// would not.
func (s *Syncer) ServeRepay(_ context.Context, p RepayParams) (LendResult, error) {
	now := s.settings.Clock()
	if p.Total == 0 && s.settings.Ledger.isClosing() {
		// What is given now would be lost with this router.
		return LendResult{}, granitehoist.ErrUnavailable
	}
	s.settings.Ledger.Borrowed(p.Workspace, p.Giver, LendResult{Total: p.Total}, now)
	return s.settings.Ledger.report(p.Workspace, p.Giver, now), nil
}

// repaySurplus repays what is held beyond need to the first relay that takes it.
func (s *Syncer) repaySurplus(ctx context.Context) {
	for _, extra := range s.settings.Ledger.surpluses(s.settings.Routers(), s.settings.Clock()) {
		lenders := s.lenders()
		for _, to := range lenders[:min(len(lenders), relaysAsked)] {
			if s.repayTo(ctx, to, extra) {
				break
			}
		}
	}
}

// handOver gives what is free to neighbours when the router stops and the store
// does not take it back. They may spend it, and return it when the store answers.
func (s *Syncer) handOver(ctx context.Context) {
	lenders := s.lenders()
	for i, free := range s.settings.Ledger.surpluses(s.settings.Routers(), s.settings.Clock()) {
		for j := range min(len(lenders), maxHandOverTries) {
			if s.giveTo(ctx, lenders[(i+j)%len(lenders)], free) {
				break
			}
		}
	}
}

// repayTo gives tokens back to a relay that is in touch with the store, and
// reports whether it was one.
func (s *Syncer) repayTo(ctx context.Context, to granitehoist.Peer, extra surplus) bool {
	return s.offer(ctx, to, extra, func(r LendResult) bool { return r.InTouch })
}

// giveTo gives tokens to any neighbour that answers, and reports whether it
// answered.
func (s *Syncer) giveTo(ctx context.Context, to granitehoist.Peer, extra surplus) bool {
	return s.offer(ctx, to, extra, func(LendResult) bool { return true })
}

// offer gives tokens to a neighbour in two calls: the first asks for a reply that
// fits, the second gives. It reports whether the tokens have been deducted here.
func (s *Syncer) offer(ctx context.Context, to granitehoist.Peer, extra surplus, fits func(LendResult) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, replenishTimeout)
	defer cancel()
	// A neighbour that can't be reached must not be given anything. Its error needs
	// no handling: nothing has been given, and the next neighbour is asked.
	ask := RepayParams{Giver: s.settings.Ledger.settings.Incarnation, Workspace: extra.workspace}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, to, MethodRepay, ask, &result); err != nil || !fits(result) {
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
