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

// Syncer synchronizes a Ledger with the records in the store, and borrows from
// neighbours. Run drives it.
type Syncer struct {
	settings SyncerSettings
	triggers chan struct{}

	// copies holds the last known records.
	copies recordCopies
	// failures counts the failed syncs in a row. A conflict is no failure, since the
	// store has responded. reached is set once the store has returned a record.
	failures atomic.Int64
	reached  atomic.Bool

	// excludeMu guards excludedUntil, which holds by address until when a neighbour that
	// did not respond is not called.
	excludeMu     sync.Mutex
	excludedUntil map[string]time.Time
	// roundTrips holds the times of calls to neighbours in other regions.
	roundTrips roundTrips
}

// SyncerSettings configure a Syncer.
type SyncerSettings struct {
	Box    granitehoist.Box
	Ledger *Ledger
	Store  granitehoist.Store
	// Routers returns the number of routers that share the budgets; nil means one.
	Routers func() int
	// Boxes returns the boxes of the routers that share the budgets, this one's included; nil
	// means that they are not known.
	Boxes func() []granitehoist.Box
	// ShardsRecord reports whether the fleet is large enough to divide the record into
	// shards, which can't be undone; nil means that it is not.
	ShardsRecord func() bool
	// Lenders returns the neighbours that may lend the tokens of a shard, in the order in
	// which they are to be called. Caller calls them. Nothing is borrowed if either is
	// nil.
	Lenders func(Shard) []Lender
	Caller  granitehoist.Caller
	// Interval is how often Run checks the holdings; zero means DefaultInterval.
	Interval time.Duration
	// Timeout is the longest that a call to the store may take; zero means DefaultTimeout.
	Timeout time.Duration
	// LendWait is how long this router waits for the store on behalf of a neighbour;
	// zero means DefaultLendWait. A sub-holder also waits for the round trip to the holder.
	LendWait time.Duration
	// HedgeAfter is how long a lender may take before the next one is called as well;
	// zero means DefaultHedgeAfter. If a lender is in another region, the round trip is
	// added.
	HedgeAfter time.Duration
	Clock      granitehoist.Clock
	Log        *zap.Logger
	// OnSync, if set, is called with the result of each sync. It must not call the
	// syncer.
	OnSync func(error)
}

// DefaultInterval is how often Run checks the holdings.
const DefaultInterval = 700 * time.Millisecond

// NewSyncer returns a syncer. It panics if the settings lack the box, the ledger or the
// store.
func NewSyncer(s SyncerSettings) *Syncer {
	if s.Box == "" || s.Ledger == nil || s.Store == nil {
		panic("escrow: syncer settings lack the box, the ledger or the store")
	}
	defaults.Set(&s.Interval, DefaultInterval)
	defaults.Set(&s.Timeout, DefaultTimeout)
	defaults.Set(&s.LendWait, DefaultLendWait)
	defaults.Set(&s.HedgeAfter, DefaultHedgeAfter)
	if s.Routers == nil {
		s.Routers = func() int { return 1 }
	}
	if s.Boxes == nil {
		s.Boxes = func() []granitehoist.Box { return nil }
	}
	if s.ShardsRecord == nil {
		s.ShardsRecord = func() bool { return false }
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.OnSync == nil {
		s.OnSync = func(error) {}
	}
	return &Syncer{
		settings: s, triggers: make(chan struct{}, 1), excludedUntil: map[string]time.Time{},
		copies: recordCopies{undivided: recordCopy{key: RecordKey, absent: absentBoxes{}}},
	}
}

// Reserve reserves maxCost tokens of a workspace. If the router owns too few, it waits for
// a sync or a loan until ctx ends.
func (s *Syncer) Reserve(ctx context.Context, w granitehoist.Workspace, maxCost granitehoist.Tokens, priority granitehoist.Priority) Answer {
	outcome := s.reserve(ctx, w, claim{maxCost: maxCost, priority: priority, countsAsDemand: true})
	s.refill(w)
	return s.settings.Ledger.answer(w, outcome, s.settings.Clock())
}

// reserve implements Reserve for any claim.
func (s *Syncer) reserve(ctx context.Context, w granitehoist.Workspace, c claim) Outcome {
	if s.settings.Ledger.reserve(w, c, s.settings.Clock()) {
		return Granted
	}
	queued := s.settings.Ledger.addWaiter(w, c, s.settings.Clock())
	role := s.settings.Ledger.Role(w, s.settings.Clock())
	if role == RoleSubHolder || (role == RoleBorrower && !c.isLoan) {
		return s.borrowForRequest(ctx, w, c, queued)
	}
	s.TriggerSync()
	return s.wait(ctx, w, queued)
}

// wait returns the outcome of a waiting request, at the end of ctx at the latest.
func (s *Syncer) wait(ctx context.Context, w granitehoist.Workspace, queued *waiter) Outcome {
	select {
	case outcome := <-queued.outcome:
		return outcome
	case <-ctx.Done():
		return s.settings.Ledger.abandon(w, queued, s.settings.Clock())
	}
}

// Settle ends a reservation as Ledger.Settle does.
func (s *Syncer) Settle(w granitehoist.Workspace, maxCost, used granitehoist.Tokens) {
	s.settings.Ledger.Settle(w, maxCost, used, s.settings.Clock())
}

// TriggerSync triggers a round of Run. It does not block.
func (s *Syncer) TriggerSync() {
	select {
	case s.triggers <- struct{}{}:
	default:
	}
}

// transferTimeout is the timeout of the transfer of tokens to neighbours when Close fails
// to return them to the store.
const transferTimeout = 300 * time.Millisecond

// Close returns the free tokens. Where this router is a borrower, it repays them to
// holders. It returns the remaining ones to the store or, if the store is unresponsive or
// the sync fails, transfers them to neighbours. After a write of unknown outcome the tokens
// are already deducted and are not transferred. Only tokens that become free afterwards
// can still be reserved. Close returns the error of the store, also if the tokens were
// transferred to neighbours.
func (s *Syncer) Close(ctx context.Context) error {
	s.settings.Ledger.Close()
	s.repaySurplus(ctx)
	if !s.settings.Ledger.hasFree() {
		return nil
	}
	err := error(granitehoist.ErrUnavailable)
	if !s.settings.Ledger.isStoreUnresponsive() {
		err = s.Sync(ctx)
	}
	if err != nil && s.settings.Caller != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
		defer cancel()
		s.transferAll(ctx)
	}
	return err
}
