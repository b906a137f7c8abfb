// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
)

// Run syncs when requests wait or holdings are off, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(s.settings.Interval)
	defer ticker.Stop()
	var retryAt time.Time
	wait := failurePause
	relayFailures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
			pause(ctx, gatherTime)
		case <-ticker.C:
		}
		now := s.settings.Clock()
		switch {
		case !s.settings.Ledger.urgent() && !s.isDue(now):
			if !s.settings.Writes() {
				s.returnSurplus(ctx)
			}
		case !s.settings.Writes() && s.replenish(ctx):
			relayFailures = 0
			// What is left may be idle at others.
			s.borrow(ctx)
		case !s.settings.Writes() && relayFailures < relayFailureLimit:
			relayFailures++
		case now.Before(retryAt):
			s.borrow(ctx)
		case s.syncOrBorrow(ctx):
			wait = failurePause
		default:
			retryAt = s.settings.Clock().Add(wait)
			wait = min(2*wait, maxFailurePause)
		}
	}
}

// isDue reports whether holdings are off enough to be worth a call.
func (s *Syncer) isDue(now time.Time) bool {
	if !s.settings.Writes() {
		return len(s.settings.Ledger.lacks(s.settings.Routers(), now)) > 0
	}
	return s.settings.Ledger.due(s.settings.Routers(), now)
}

// syncOrBorrow syncs, asks neighbours as well if that takes long, and reports
// whether the store answered.
func (s *Syncer) syncOrBorrow(ctx context.Context) bool {
	borrower := time.AfterFunc(borrowAfter, func() { s.borrow(ctx) })
	err := s.Sync(ctx)
	if err == nil {
		borrower.Stop()
		return true
	}
	if ctx.Err() == nil {
		s.settings.Log.Warn(event.BudgetSyncFailed, zap.Error(err))
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
