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

// Sync writes the ledger's grants and returns into the records of all workspaces for
// which this router uses them. It begins with a record as it was last seen: if that
// is no longer the newest, the store refuses the write and answers with the newest.
// After an error the ledger owns no more than the store has confirmed; if the outcome
// of a write is unknown, the next sync reads whether it took effect. Errors are those
// of the store, ErrConflict after conflictTries, or that a record can't be decoded or
// is too large. Concurrent calls run one after the other for each record.
func (s *Syncer) Sync(ctx context.Context) error {
	return s.syncShards(ctx, s.settings.Ledger.usedShards(s.settings.Clock()))
}

// syncShards syncs the records that have the given shards, all at once. While the
// store is silent one of them shows whether it answers before the others are tried.
func (s *Syncer) syncShards(ctx context.Context, shards []Shard) error {
	err := s.trySyncShards(ctx, shards)
	if errors.Is(err, errDivided) {
		err = s.trySyncShards(ctx, shards)
	}
	s.noteResult(err)
	s.settings.Synced(err)
	return err
}

// trySyncShards is syncShards, but fails with errDivided if it finds that out.
func (s *Syncer) trySyncShards(ctx context.Context, shards []Shard) error {
	if s.settings.Divides() && !s.copies.isDivided() {
		if err := s.divide(ctx); err != nil {
			return err
		}
	}
	records := s.copies.of(shards)
	if len(records) > 1 && s.settings.Ledger.isStoreSilent() {
		if err := s.syncRecord(ctx, records[0]); err != nil {
			return err
		}
		records = records[1:]
	}
	errs := make([]error, len(records))
	var syncing sync.WaitGroup
	for i, record := range records {
		syncing.Go(func() { errs[i] = s.syncRecord(ctx, record) })
	}
	syncing.Wait()
	return errors.Join(errs...)
}

// syncRecord syncs one record.
func (s *Syncer) syncRecord(ctx context.Context, record *recordCopy) error {
	record.mu.Lock()
	defer record.mu.Unlock()
	err := granitehoist.ErrConflict
	for try := 0; try < conflictTries && errors.Is(err, granitehoist.ErrConflict); try++ {
		pause.For(ctx, time.Duration(try)*conflictPause)
		err = s.try(ctx, record)
	}
	return err
}

// noteResult counts the syncs that failed in a row.
func (s *Syncer) noteResult(err error) {
	if err == nil || errors.Is(err, granitehoist.ErrConflict) {
		s.failures.Store(0)
		return
	}
	s.failures.Add(1)
}

// callTimeout returns how long the calls of a sync may take now.
func (s *Syncer) callTimeout() time.Duration {
	return callTimeout(int(s.failures.Load()), s.reached.Load(), s.settings.Timeout)
}

// try makes one attempt of a sync with the record last seen, or the newest if none
// was seen or it leaves nothing to write.
func (s *Syncer) try(ctx context.Context, c *recordCopy) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	fresh := !c.lastEntryValid
	if fresh {
		if err := s.read(ctx, c); err != nil {
			return err
		}
	}
	record, planned, err := s.plan(c)
	if err != nil {
		return err
	}
	if !planned.isWrite() && !fresh {
		// By the record last seen there is nothing to grant or return; the newest
		// may differ.
		if err := s.read(ctx, c); err != nil {
			return err
		}
		if record, planned, err = s.plan(c); err != nil {
			return err
		}
	}
	if planned.isWrite() {
		if err := s.write(ctx, c, record); err != nil {
			return err
		}
		s.logGrants(planned, c.lastEntry.Version)
	}
	s.settings.Ledger.confirm(record, c.scope, s.settings.Clock())
	return nil
}

// read reads a record from the store.
func (s *Syncer) read(ctx context.Context, c *recordCopy) error {
	entry, err := s.settings.Store.Get(ctx, c.key)
	if err != nil {
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
		return err
	}
	s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
	s.reached.Store(true)
	c.lastEntry, c.lastEntryValid = entry, true
	return nil
}

// plan writes the ledger's grants and returns into a copy of the record last seen.
func (s *Syncer) plan(c *recordCopy) (*Record, plan, error) {
	record, err := c.decode()
	if err != nil {
		c.lastEntryValid = false
		return nil, nil, err
	}
	if record.isDivided() {
		s.copies.divided(record)
		return nil, nil, errDivided
	}
	record.Enter(s.settings.Box, s.settings.Ledger.settings.Incarnation)
	return record, s.settings.Ledger.prepare(record, c.scope, s.settings.Routers(), s.settings.Clock()), nil
}

// write writes a record in place of the one last seen.
func (s *Syncer) write(ctx context.Context, c *recordCopy, record *Record) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	version, err := s.settings.Store.CompareAndSwap(ctx, granitehoist.Change{Key: c.key, Value: value, Expect: c.lastEntry.Version})
	var conflict *granitehoist.Conflict
	switch {
	case err == nil:
		s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
		c.lastEntry = granitehoist.Entry{Key: c.key, Value: value, Version: version}
		return nil
	case errors.As(err, &conflict):
		s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
		c.lastEntry = conflict.Current
		return err
	case errors.Is(err, granitehoist.ErrConflict):
		// The store answered without the newest record: it is read again.
	default:
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	c.lastEntryValid = false
	return err
}

// logGrants logs the rows that were written with a version of their record.
func (s *Syncer) logGrants(planned plan, version granitehoist.Version) {
	for w, written := range planned {
		s.settings.Log.Info(event.BudgetGrant,
			zap.String("workspace", string(w)),
			zap.Int64("granted", int64(written.row.Granted)), zap.Int64("returned", int64(written.row.Returned)),
			zap.Int64("spent", int64(written.row.Spent)), zap.Int64("idle", int64(written.row.Idle)),
			zap.Int64("rest", int64(written.remaining)), zap.Int64("prepaid", int64(written.limit)),
			zap.Uint64("version", uint64(version)))
	}
}
