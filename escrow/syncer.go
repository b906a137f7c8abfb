// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Syncer keeps a Ledger and the record in the store in step. Run drives it.
type Syncer struct {
	settings SyncerSettings
	kick     chan struct{}
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
	DefaultInterval = 400 * time.Millisecond
	DefaultTimeout  = 1500 * time.Millisecond
)

// Bounds of a sync's tries.
const (
	conflictTries = 8
	failurePause  = 150 * time.Millisecond
	// gather lets requests that arrive together share a sync.
	gather = 3 * time.Millisecond
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
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Synced == nil {
		s.Synced = func(error) {}
	}
	return &Syncer{settings: s, kick: make(chan struct{}, 1)}
}

// Reserve sets bound tokens of a workspace aside, waiting for a sync until ctx
// ends if the router owns too few.
func (s *Syncer) Reserve(ctx context.Context, w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority) Outcome {
	if s.settings.Ledger.Reserve(w, bound, priority, s.settings.Clock()) {
		return Granted
	}
	entered := s.settings.Ledger.wait(w, bound, priority, s.settings.Clock())
	s.Kick()
	select {
	case outcome := <-entered.ended:
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
			pause(ctx, gather)
		case <-ticker.C:
		}
		if !s.settings.Ledger.urgent() && !s.settings.Ledger.due(s.settings.Routers(), s.settings.Clock()) {
			continue
		}
		borrower := time.AfterFunc(borrowAfter, func() { s.borrow(ctx) })
		err := s.Sync(ctx)
		if err == nil {
			borrower.Stop()
		}
		if err != nil && ctx.Err() == nil {
			s.settings.Log.Warn("budget_sync_failed", zap.Error(err))
			pause(ctx, failurePause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Sync reads the record, enters what the ledger wishes and writes it back. An
// error leaves the ledger with what it is known to own.
func (s *Syncer) Sync(ctx context.Context) error {
	err := granitehoist.ErrConflict
	for try := 0; try < conflictTries && errors.Is(err, granitehoist.ErrConflict); try++ {
		pause(ctx, time.Duration(try)*time.Millisecond)
		err = s.try(ctx)
	}
	s.settings.Synced(err)
	return err
}

func (s *Syncer) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	entry, err := s.settings.Store.Get(ctx, RecordKey)
	if err != nil {
		s.settings.Ledger.silent(s.settings.Clock())
		return err
	}
	record, err := DecodeRecord(entry)
	if err != nil {
		return err
	}
	s.settings.Ledger.heard(s.settings.Clock())
	record.Enter(s.settings.Box, s.settings.Ledger.settings.Incarnation)
	now := s.settings.Clock()
	planned := s.settings.Ledger.prepare(record, s.settings.Routers(), now)
	if !planned.changed {
		s.settings.Ledger.confirm(record)
		return nil
	}
	value, err := record.Encode()
	if err != nil {
		return err
	}
	version, err := s.settings.Store.CompareAndSwap(ctx, granitehoist.Change{Key: RecordKey, Value: value, Expect: entry.Version})
	if err != nil {
		return err
	}
	for w, row := range planned.rows {
		s.settings.Log.Info("budget_grant", zap.String("workspace", string(w)), zap.Int64("granted", int64(row.Granted)), zap.Int64("returned", int64(row.Returned)), zap.Int64("spent", int64(row.Spent)), zap.Int64("idle", int64(row.Idle)), zap.Int64("rest", int64(planned.rests[w])), zap.Uint64("version", uint64(version)))
	}
	s.settings.Ledger.confirm(record)
	return nil
}
