// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// gatherTime lets requests that arrive together share a sync.
	gatherTime = 3 * time.Millisecond
	// borrowAfter is how long a sync may take before neighbours are asked as well.
	borrowAfter = 20 * time.Millisecond
)

// Run syncs when requests wait or holdings are too low or too high, until ctx ends.
// Call it once.
func (s *Syncer) Run(ctx context.Context) {
	timer := time.NewTimer(untilNextLook(s.settings.Interval, rand.Float64()))
	defer timer.Stop()
	go s.repayLoop(ctx)
	state := loopState{nextPause: failurePause}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kicks:
			pause.For(ctx, gatherTime)
		case <-timer.C:
			timer.Reset(untilNextLook(s.settings.Interval, rand.Float64()))
		}
		s.runRound(ctx, &state)
	}
}

// untilNextLook decides when the holdings are looked at next: after half to one and a
// half of the interval, by a random draw from 0 up to 1. Routers that started
// together would otherwise all write the record at the same moments, and each write
// but the first would conflict.
func untilNextLook(interval time.Duration, draw float64) time.Duration {
	return time.Duration((0.5 + draw) * float64(interval))
}

// loopState is what Run remembers from one round to the next.
type loopState struct {
	// retryAt is when a store that failed may be called again, and pause how long
	// it will be left alone after its next failure.
	retryAt   time.Time
	nextPause time.Duration
}

// runRound gathers what a round decides from, and does what it decides.
func (s *Syncer) runRound(ctx context.Context, state *loopState) {
	now := s.settings.Clock()
	needed := s.settings.Ledger.neededShards(s.settings.Routers(), now)
	r := round{needed: len(needed) > 0, pausing: now.Before(state.retryAt)}
	switch r.next() {
	case stepBorrow:
		s.borrow(ctx)
	case stepSync:
		if s.syncOrBorrow(ctx, needed) {
			state.nextPause = failurePause
			return
		}
		state.syncFailed(s.settings.Clock())
	case stepNothing:
	}
}

// syncFailed leaves the store alone for a pause, and makes the next one longer.
func (s *loopState) syncFailed(now time.Time) {
	s.retryAt = now.Add(s.nextPause)
	s.nextPause = longerPause(s.nextPause)
}

// syncOrBorrow syncs shards, asks neighbours as well if that takes long or fails, and
// reports whether the store answered.
func (s *Syncer) syncOrBorrow(ctx context.Context, needed []Shard) bool {
	borrower := time.AfterFunc(borrowAfter, func() { s.borrow(ctx) })
	err := s.syncShards(ctx, needed)
	if err == nil {
		borrower.Stop()
		return true
	}
	// A router that stops cancels the call itself: that is no failure of the store.
	if ctx.Err() == nil {
		s.settings.Log.Warn(event.BudgetSyncFailed, zap.Error(err))
	}
	return false
}
