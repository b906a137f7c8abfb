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
	"granitehoist.example/granitehoist/internal/defaults"
)

// Syncer keeps a Ledger and the record in the store in step. Run drives it.
type Syncer struct {
	settings SyncerSettings
	kicks    chan struct{}

	// copies holds the records as they were last seen.
	copies copies
	// failures counts the failed syncs in a row. A conflict is no failure: the
	// store has answered. reached says that the store has ever answered.
	failures atomic.Int64
	reached  atomic.Bool

	// avoiding guards avoided, which holds by address until when a neighbour that
	// did not answer is not asked.
	avoiding sync.Mutex
	avoided  map[string]time.Time
}

// SyncerSettings configure a Syncer.
type SyncerSettings struct {
	Box    granitehoist.Box
	Ledger *Ledger
	Store  granitehoist.Store
	// Routers returns the number of routers that share the budgets.
	Routers func() int
	// Divides reports whether the fleet is so large that its record is divided into
	// shards, which is not undone; nil means that it is not.
	Divides func() bool
	// Lenders returns the neighbours that may lend the tokens of a shard, the
	// likeliest first, and Caller reaches them; nil borrows from nobody.
	Lenders func(Shard) []Lender
	Caller  granitehoist.Caller
	// Interval is how often Run checks the holdings; zero means DefaultInterval.
	Interval time.Duration
	// Timeout bounds a call to the store; zero means DefaultTimeout.
	Timeout time.Duration
	// LendWait is how long this router waits for the store on behalf of a neighbour;
	// zero means DefaultLendWait.
	LendWait time.Duration
	// HedgeAfter is how long a lender may take before the next one is asked as well;
	// zero means DefaultHedgeAfter.
	HedgeAfter time.Duration
	Clock      granitehoist.Clock
	Log        *zap.Logger
	// Synced, if set, is called with the result of each sync. It must not call the
	// syncer.
	Synced func(error)
}

// DefaultInterval is how often Run checks the holdings. Measured together with
// connections that are kept longer (332eb91, docs/PERFORMANCE.md): fewer calls than
// with 0.4 s and about the same earned, Tuul 0.946 before, 0.938 and 0.969 after;
// Lima 0.969 before, 0.979 after with 9.5 s of cover.
const DefaultInterval = 700 * time.Millisecond

// NewSyncer returns a syncer. It panics if the settings lack the box, the
// ledger or the store.
func NewSyncer(s SyncerSettings) *Syncer {
	if s.Box == "" || s.Ledger == nil || s.Store == nil {
		panic("escrow: a setting is missing")
	}
	defaults.Set(&s.Interval, DefaultInterval)
	defaults.Set(&s.Timeout, DefaultTimeout)
	defaults.Set(&s.LendWait, DefaultLendWait)
	defaults.Set(&s.HedgeAfter, DefaultHedgeAfter)
	if s.Routers == nil {
		s.Routers = func() int { return 1 }
	}
	if s.Divides == nil {
		s.Divides = func() bool { return false }
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Synced == nil {
		s.Synced = func(error) {}
	}
	return &Syncer{
		settings: s, kicks: make(chan struct{}, 1), avoided: map[string]time.Time{},
		copies: copies{whole: recordCopy{key: RecordKey}},
	}
}

// Reserve sets bound tokens of a workspace aside. If the router owns too few it
// waits for a sync or a loan, until ctx ends.
func (s *Syncer) Reserve(ctx context.Context, w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority) Answer {
	outcome := s.reserve(ctx, w, claim{bound: bound, priority: priority, counts: true})
	s.refill(w)
	return s.settings.Ledger.answer(w, outcome, s.settings.Clock())
}

// reserve is Reserve for a claim of any kind.
func (s *Syncer) reserve(ctx context.Context, w granitehoist.Workspace, c claim) Outcome {
	if s.settings.Ledger.reserve(w, c, s.settings.Clock()) {
		return Granted
	}
	entered := s.settings.Ledger.addWaiter(w, c, s.settings.Clock())
	if s.settings.Ledger.Role(w, s.settings.Clock()) == Asks && !c.loan {
		return s.ask(ctx, w, c, entered)
	}
	s.Kick()
	return s.wait(ctx, w, entered)
}

// wait returns the outcome of a request that waits, at the end of ctx at the latest.
func (s *Syncer) wait(ctx context.Context, w granitehoist.Workspace, entered *waiter) Outcome {
	select {
	case outcome := <-entered.outcome:
		return outcome
	case <-ctx.Done():
		return s.settings.Ledger.abandon(w, entered, s.settings.Clock())
	}
}

// Settle ends a reservation as Ledger.Settle does.
func (s *Syncer) Settle(w granitehoist.Workspace, bound, used granitehoist.Tokens) {
	s.settings.Ledger.Settle(w, bound, used, s.settings.Clock())
}

// Kick asks for a sync at once.
func (s *Syncer) Kick() {
	select {
	case s.kicks <- struct{}{}:
	default:
	}
}

// handOverTimeout bounds what a closing router does after the store failed it.
const handOverTimeout = 300 * time.Millisecond

// Close returns what is free: to holders where this router asks them, else to the
// store, or to neighbours if the store does not take it; at once while the store is
// silent, as there is little time. After a write of unknown outcome the tokens are
// already deducted, and nothing is left to hand over. Only tokens that come free
// afterwards can still be reserved. The error is that of the store; tokens that
// were handed over are not lost though there is one.
func (s *Syncer) Close(ctx context.Context) error {
	s.settings.Ledger.Close()
	s.repaySurplus(ctx)
	if !s.settings.Ledger.hasFree() {
		return nil
	}
	err := error(granitehoist.ErrUnavailable)
	if !s.settings.Ledger.isStoreSilent() {
		err = s.Sync(ctx)
	}
	if err != nil && s.settings.Caller != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
		defer cancel()
		s.handOver(ctx)
	}
	return err
}
