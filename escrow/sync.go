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
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// conflictTries bounds the writes that one sync tries while each conflicts with
	// that of another router. Chosen, not measured (a5ccbbc).
	conflictTries = 8
	// conflictPause is by how much the pause grows with each try.
	// Chosen, not measured (a5ccbbc).
	conflictPause = time.Millisecond
)

// Sync writes the ledger's grants and returns into the record. It begins with the
// record as it was last seen: if that is no longer the newest, the store refuses
// the write and answers with the newest. After an error the ledger owns no more
// than the store has confirmed; if the outcome of a write is unknown, the next sync
// reads whether it took effect. Errors are those of the store, ErrConflict after
// conflictTries, or that the record can't be decoded or is too large. Concurrent
// calls run one after the other.
func (s *Syncer) Sync(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := granitehoist.ErrConflict
	for try := 0; try < conflictTries && errors.Is(err, granitehoist.ErrConflict); try++ {
		pause.For(ctx, time.Duration(try)*conflictPause)
		err = s.try(ctx)
	}
	s.failures++
	if err == nil || errors.Is(err, granitehoist.ErrConflict) {
		s.failures = 0
	}
	s.settings.Synced(err)
	return err
}

// try makes one attempt of a sync with the record last seen, or the newest if none
// was seen or it leaves nothing to write.
func (s *Syncer) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout(s.failures, s.lastEntry.Version != 0, s.settings.Timeout))
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
		// By the record last seen there is nothing to grant or return; the newest
		// may differ.
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

// plan writes the ledger's grants and returns into a copy of the record last seen.
func (s *Syncer) plan() (*Record, plan, error) {
	record, err := DecodeRecord(s.lastEntry)
	if err != nil {
		s.lastEntryValid = false
		return nil, nil, err
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
		// The store answered without the newest record: it is read again.
	default:
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	s.lastEntryValid = false
	return err
}

// logGrants logs the rows that were written.
func (s *Syncer) logGrants(planned plan) {
	for w, written := range planned {
		s.settings.Log.Info(event.BudgetGrant,
			zap.String("workspace", string(w)),
			zap.Int64("granted", int64(written.row.Granted)), zap.Int64("returned", int64(written.row.Returned)),
			zap.Int64("spent", int64(written.row.Spent)), zap.Int64("idle", int64(written.row.Idle)),
			zap.Int64("rest", int64(written.remaining)), zap.Int64("prepaid", int64(written.limit)),
			zap.Uint64("version", uint64(s.lastEntry.Version)))
	}
}
