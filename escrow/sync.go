// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// conflictTries bounds the writes that one sync tries while each conflicts with that
	// of another router.
	conflictTries = 8
	// conflictPause is by how much the pause grows with each try.
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
	return s.syncRecords(ctx, records)
}

// syncRecords syncs records with one write for up to granitehoist.MaxChanges of them: a
// holder of several shards makes a call for all, where it made one for each. If one of
// the records has another version than expected the write has no effect, and each of
// them is synced by itself.
func (s *Syncer) syncRecords(ctx context.Context, records []*recordCopy) error {
	var errs []error
	for together := range slices.Chunk(records, granitehoist.MaxChanges) {
		err := s.syncTogether(ctx, together)
		if errors.Is(err, granitehoist.ErrConflict) {
			err = s.syncEach(ctx, together)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// syncTogether makes one attempt to sync records. They are locked in their order, which
// is that of their shards everywhere.
func (s *Syncer) syncTogether(ctx context.Context, records []*recordCopy) error {
	for _, record := range records {
		record.mu.Lock()
		defer record.mu.Unlock()
	}
	return s.try(ctx, records)
}

// syncEach syncs records at the same time, each by itself.
func (s *Syncer) syncEach(ctx context.Context, records []*recordCopy) error {
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
		err = s.try(ctx, []*recordCopy{record})
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

// draft is a record with this router's rows as they are to be written.
type draft struct {
	copy    *recordCopy
	record  *Record
	planned plan
}

// try makes one attempt of a sync of records that the caller has locked: it drafts each,
// and writes those that change all at once. A record that can't be drafted does not keep
// the others from being synced.
func (s *Syncer) try(ctx context.Context, records []*recordCopy) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	drafts := make([]draft, len(records))
	errs := make([]error, len(records))
	var drafting sync.WaitGroup
	for i, c := range records {
		drafting.Go(func() { drafts[i], errs[i] = s.draft(ctx, c, len(records) > 1) })
	}
	drafting.Wait()
	var writes []draft
	for i, d := range drafts {
		switch {
		case errs[i] != nil:
		case d.planned.isWrite():
			writes = append(writes, d)
		default:
			s.settings.Ledger.confirm(d.record, d.copy.scope, s.settings.Clock())
		}
	}
	if err := s.write(ctx, writes); err != nil {
		return errors.Join(append(errs, err)...)
	}
	for _, d := range writes {
		s.logGrants(d.planned, d.copy.lastEntry.Version)
		s.settings.Ledger.confirm(d.record, d.copy.scope, s.settings.Clock())
	}
	return errors.Join(errs...)
}

// draft drafts a record from the one last seen, or the newest if none was seen or it
// leaves nothing to write. joins says that it is to be written together with others.
func (s *Syncer) draft(ctx context.Context, c *recordCopy, joins bool) (draft, error) {
	fresh := !c.lastEntryValid
	if fresh {
		if err := s.read(ctx, c); err != nil {
			return draft{}, err
		}
	}
	record, planned, err := s.plan(c, joins)
	if err != nil || planned.isWrite() || fresh {
		return draft{c, record, planned}, err
	}
	// By the record last seen there is nothing to grant or return; the newest may
	// differ.
	if err := s.read(ctx, c); err != nil {
		return draft{}, err
	}
	record, planned, err = s.plan(c, joins)
	return draft{c, record, planned}, err
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
func (s *Syncer) plan(c *recordCopy, joins bool) (*Record, plan, error) {
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
	return record, s.settings.Ledger.prepare(record, c.scope, joins, s.settings.Routers(), s.settings.Clock()), nil
}

// write writes records in place of those last seen, all or none.
func (s *Syncer) write(ctx context.Context, drafts []draft) error {
	if len(drafts) == 0 {
		return nil
	}
	changes, err := changesOf(drafts)
	if err != nil {
		return err
	}
	version, err := s.settings.Store.CompareAndSwapAll(ctx, changes)
	if err != nil {
		s.noteWriteFailure(drafts, err)
		return err
	}
	s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
	for i, d := range drafts {
		d.copy.lastEntry = granitehoist.Entry{Key: d.copy.key, Value: changes[i].Value, Version: version}
	}
	return nil
}

// changesOf returns the write of drafts. The error says that one of them is too large.
func changesOf(drafts []draft) ([]granitehoist.Change, error) {
	changes := make([]granitehoist.Change, 0, len(drafts))
	for _, d := range drafts {
		value, err := d.record.Encode()
		if err != nil {
			return nil, err
		}
		changes = append(changes, granitehoist.Change{Key: d.copy.key, Value: value, Expect: d.copy.lastEntry.Version})
	}
	return changes, nil
}

// noteWriteFailure notes what a failed write says of the records: after a conflict their
// states as the store has them, else that they have to be read again.
func (s *Syncer) noteWriteFailure(drafts []draft, err error) {
	var conflict *granitehoist.Conflict
	isConflict := errors.As(err, &conflict)
	switch {
	case isConflict:
		s.settings.Ledger.noteStoreAnswer(s.settings.Clock())
	case !errors.Is(err, granitehoist.ErrConflict):
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	for _, d := range drafts {
		current, known := granitehoist.Entry{}, false
		if isConflict {
			current, known = conflict.Of(d.copy.key)
		}
		d.copy.lastEntry, d.copy.lastEntryValid = current, known
	}
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
