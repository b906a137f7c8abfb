// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
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
