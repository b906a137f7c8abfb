// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/event"
)

// Syncer keeps a Ledger and the record in the store in step. Run drives it.
type Syncer struct {
	settings SyncerSettings
	kick     chan struct{}

	// mu is held during a sync. seen is the record as it last was in the store
	// if seenKnown is set. failures counts the syncs that failed in a row.
	mu             sync.Mutex
	lastEntry      granitehoist.Entry
	lastEntryValid bool
	failures       int

	// avoided holds until when neighbours that did not answer are left out, by
	// address.
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
	// Lenders returns the neighbours that may lend, the likeliest first, and
	// Caller reaches them; nil borrows from nobody.
	Lenders func() []granitehoist.Peer
	Caller  granitehoist.Caller
	// Writes reports whether this router reads and writes the record of its own
	// accord. One that does not borrows from relays, and goes to the record only
	// when they don't help. Serves reports whether it is a relay, which goes to
	// the record when others ask. Nil stands for always.
	Writes func() bool
	Serves func() bool
	// Interval is how often the holdings are looked at; zero stands for
	// DefaultInterval.
	Interval time.Duration
	// Timeout bounds a call to the store; zero stands for DefaultTimeout.
	Timeout time.Duration
	Clock   granitehoist.Clock
	Log     *zap.Logger
	// Synced, if set, is told the result of each sync.
	Synced func(error)
}

// Defaults of SyncerSettings.
const (
	DefaultInterval = 700 * time.Millisecond
	DefaultTimeout  = 1500 * time.Millisecond
)

// Bounds of a sync's tries.
const (
	conflictTries = 8
	failurePause  = 150 * time.Millisecond
	// relayFailureLimit is how often in a row relays may fail to help before a router
	// that is none goes to the record itself.
	relayFailureLimit = 3
	// maxFailurePause bounds the pause while the store fails for long.
	maxFailurePause = 300 * time.Millisecond
	// probeTimeout bounds the calls to a store that is silent, so that its return
	// is soon seen: a call that was sent before would wait for its whole timeout.
	probeTimeout = 400 * time.Millisecond
	// fullTimeoutEvery is how often such a call gets its whole timeout all the same:
	// the store may be slow.
	fullTimeoutEvery = 4
	// gatherTime lets requests that arrive together share a sync.
	gatherTime = 3 * time.Millisecond
)

// NewSyncer returns a syncer. It panics if the settings lack the box, the
// ledger or the store.
func NewSyncer(s SyncerSettings) *Syncer {
	if s.Box == "" || s.Ledger == nil || s.Store == nil {
		panic("escrow: a setting is missing")
	}
	defaults.Set(&s.Interval, DefaultInterval)
	defaults.Set(&s.Timeout, DefaultTimeout)
	if s.Routers == nil {
		s.Routers = func() int { return 1 }
	}
	if s.Writes == nil || s.Lenders == nil || s.Caller == nil {
		s.Writes = func() bool { return true }
	}
	if s.Serves == nil {
		s.Serves = s.Writes
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
	return &Syncer{settings: s, kick: make(chan struct{}, 1), avoided: map[string]time.Time{}}
}

// Reserve sets bound tokens of a workspace aside, waiting for a sync until ctx
// ends if the router owns too few.
func (s *Syncer) Reserve(ctx context.Context, w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority) Answer {
	outcome := s.reserve(ctx, w, claim{bound: bound, priority: priority})
	return s.settings.Ledger.answer(w, outcome, s.settings.Clock())
}

func (s *Syncer) reserve(ctx context.Context, w granitehoist.Workspace, d claim) Outcome {
	if s.settings.Ledger.reserve(w, d, s.settings.Clock()) {
		return Granted
	}
	entered := s.settings.Ledger.wait(w, d, s.settings.Clock())
	s.Kick()
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
	case s.kick <- struct{}{}:
	default:
	}
}

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

// Close returns what is free to the store, and to neighbours if the store does
// not take it. Nothing can be reserved afterwards but what comes free.
func (s *Syncer) Close(ctx context.Context) error {
	s.settings.Ledger.Close()
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

// handOverTimeout bounds what a closing router does after the store failed it.
const handOverTimeout = 300 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Sync enters what the ledger wishes into the record. It begins with the record
// as it was last seen: if that is no longer the newest, the store refuses the
// write and tells the newest. An error leaves the ledger with what it is known
// to own.
func (s *Syncer) Sync(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := granitehoist.ErrConflict
	for try := 0; try < conflictTries && errors.Is(err, granitehoist.ErrConflict); try++ {
		pause(ctx, time.Duration(try)*time.Millisecond)
		err = s.try(ctx)
	}
	s.failures++
	if err == nil || errors.Is(err, granitehoist.ErrConflict) {
		s.failures = 0
	}
	s.settings.Synced(err)
	return err
}

func (s *Syncer) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	fresh := !s.lastEntryValid
	if fresh {
		if err := s.read(ctx); err != nil {
			return err
		}
	}
	record, planned, err := s.plan()
	if err != nil {
		return err
	}
	if !planned.isWrite() && !fresh {
		// Nothing can be had by what was seen last; the newest may differ.
		if err := s.read(ctx); err != nil {
			return err
		}
		if record, planned, err = s.plan(); err != nil {
			return err
		}
	}
	if planned.isWrite() {
		if err := s.write(ctx, record); err != nil {
			return err
		}
		s.logGrants(planned)
	}
	s.settings.Ledger.confirm(record, s.settings.Clock())
	return nil
}

// timeout returns the time that the next calls have.
func (s *Syncer) timeout() time.Duration {
	first := s.failures == 0 && s.lastEntry.Version == 0
	if s.failures%fullTimeoutEvery == 0 && !first {
		return s.settings.Timeout
	}
	return min(probeTimeout, s.settings.Timeout)
}

// read reads the record from the store.
func (s *Syncer) read(ctx context.Context) error {
	entry, err := s.settings.Store.Get(ctx, RecordKey)
	if err != nil {
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
		return err
	}
	s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
	s.lastEntry, s.lastEntryValid = entry, true
	return nil
}

// plan enters the ledger's wishes into a copy of the record last seen.
func (s *Syncer) plan() (*Record, plan, error) {
	record, err := DecodeRecord(s.lastEntry)
	if err != nil {
		s.lastEntryValid = false
		return nil, plan{}, err
	}
	record.Enter(s.settings.Box, s.settings.Ledger.settings.Incarnation)
	return record, s.settings.Ledger.prepare(record, s.settings.Routers(), s.settings.Clock()), nil
}

// write writes the record in place of the one last seen.
func (s *Syncer) write(ctx context.Context, record *Record) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	version, err := s.settings.Store.CompareAndSwap(ctx, granitehoist.Change{Key: RecordKey, Value: value, Expect: s.lastEntry.Version})
	var conflict *granitehoist.Conflict
	switch {
	case err == nil:
		s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
		s.lastEntry = granitehoist.Entry{Key: RecordKey, Value: value, Version: version}
		return nil
	case errors.As(err, &conflict):
		s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
		s.lastEntry = conflict.Current
		return err
	case errors.Is(err, granitehoist.ErrConflict):
	default:
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	s.lastEntryValid = false
	return err
}

// logGrants logs the rows that were written.
func (s *Syncer) logGrants(planned plan) {
	for w, written := range planned.rows {
		s.settings.Log.Info(event.BudgetGrant,
			zap.String("workspace", string(w)),
			zap.Int64("granted", int64(written.row.Granted)), zap.Int64("returned", int64(written.row.Returned)),
			zap.Int64("spent", int64(written.row.Spent)), zap.Int64("idle", int64(written.row.Idle)),
			zap.Int64("rest", int64(written.remaining)), zap.Int64("prepaid", int64(written.limit)),
			zap.Uint64("version", uint64(s.lastEntry.Version)))
	}
}
