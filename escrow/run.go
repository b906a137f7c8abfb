// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// syncDelay is the delay of a triggered round, so that requests that arrive together
	// share a sync.
	syncDelay = 3 * time.Millisecond
	// borrowAfter is how long a sync may take before the router also requests loans from
	// neighbours.
	borrowAfter = 20 * time.Millisecond
)

// Run syncs when requests wait or holdings are too low or too high, until ctx ends. It
// must be called once.
func (s *Syncer) Run(ctx context.Context) {
	timer := time.NewTimer(nextCheckDelay(s.settings.Interval, rand.Float64()))
	defer timer.Stop()
	go s.repayLoop(ctx)
	state := loopState{backoff: initialBackoff}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.triggers:
			pause.For(ctx, syncDelay)
		case <-timer.C:
			timer.Reset(nextCheckDelay(s.settings.Interval, rand.Float64()))
		}
		s.runRound(ctx, &state)
	}
}

// nextCheckDelay returns the time until the next check of the holdings: from half to one
// and a half of the interval, by a random draw in [0, 1). The jitter keeps routers that
// started together from writing the record at the same moments and conflicting.
func nextCheckDelay(interval time.Duration, draw float64) time.Duration {
	return time.Duration((0.5 + draw) * float64(interval))
}

// loopState is the state that Run keeps between rounds.
type loopState struct {
	// retryAt is when a store that failed may be called again. backoff is the delay after
	// the next failed sync.
	retryAt time.Time
	backoff time.Duration
}

// runRound collects the inputs of a round and carries out its decision.
func (s *Syncer) runRound(ctx context.Context, state *loopState) {
	now := s.settings.Clock()
	shards, needed := s.shardsToSync(now)
	r := round{needed: needed, backingOff: now.Before(state.retryAt)}
	switch r.next() {
	case stepBorrow:
		s.borrow(ctx)
	case stepSync:
		if s.syncOrBorrow(ctx, shards) {
			state.backoff = initialBackoff
			return
		}
		state.syncFailed(s.settings.Clock())
	case stepNothing:
	}
}

// shardsToSync returns the shards whose records are to be synced now, sorted, and whether a
// sync is needed. An undivided record has no shards.
func (s *Syncer) shardsToSync(now time.Time) ([]Shard, bool) {
	shards := s.settings.Ledger.shardsToSync(s.settings.Routers(), now)
	outdated, rereads := s.copies.outdated(s.settings.Ledger.currentEra(0))
	rereads = rereads && (len(outdated) > 0 || !s.settings.ShardsRecord())
	shards = append(shards, outdated...)
	slices.Sort(shards)
	return slices.Compact(shards), len(shards) > 0 || rereads
}

// syncFailed starts the backoff and increases the next one.
func (s *loopState) syncFailed(now time.Time) {
	s.retryAt = now.Add(s.backoff)
	s.backoff = nextBackoff(s.backoff)
}

// syncOrBorrow syncs shards and reports whether the sync succeeded. Unless the sync
// succeeds within borrowAfter, it also borrows from neighbours, from that moment on.
func (s *Syncer) syncOrBorrow(ctx context.Context, needed []Shard) bool {
	borrower := time.AfterFunc(borrowAfter, func() { s.borrow(ctx) })
	err := s.syncShards(ctx, needed)
	if err == nil {
		if borrower.Stop() && s.settings.Ledger.isCeilingBound() {
			s.borrow(ctx)
		}
		return true
	}
	// A router that shuts down cancels the call itself, which is no failure of the
	// store.
	if ctx.Err() == nil {
		s.settings.Log.Warn(event.BudgetSyncFailed, zap.Error(err))
	}
	return false
}
