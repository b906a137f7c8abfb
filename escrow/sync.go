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
	// conflictTries is the maximum number of attempts of one sync whose writes conflict
	// with those of other routers.
	conflictTries = 8
	// conflictPause is by how much the delay before an attempt grows with each attempt.
	conflictPause = time.Millisecond
)

// Sync writes the ledger's grants and returns into the records of all workspaces for
// which this router uses a record. It starts from the last known version of a record; if
// that is outdated, the store refuses the write and returns the newest one. After an
// error the ledger owns no more than the store has confirmed; if the outcome of a write
// is unknown, the next sync reads whether it took effect. It returns errors of the
// store, ErrConflict after conflictTries, or an error if a record can't be decoded or is
// too large. Concurrent calls are serialized for each record.
func (s *Syncer) Sync(ctx context.Context) error {
	return s.syncShards(ctx, s.settings.Ledger.usedShards(s.settings.Clock()))
}

// syncShards syncs the records that have the given shards. While the store is
// unresponsive, it syncs one record first, and the remaining ones only if the first sync
// succeeds.
func (s *Syncer) syncShards(ctx context.Context, shards []Shard) error {
	err := s.trySyncShards(ctx, shards)
	if errors.Is(err, errDivided) {
		err = s.trySyncShards(ctx, shards)
	}
	s.noteResult(err)
	s.settings.OnSync(err)
	return err
}

// trySyncShards implements syncShards, and fails with errDivided if the record turns out
// to have been divided.
func (s *Syncer) trySyncShards(ctx context.Context, shards []Shard) error {
	if s.settings.ShardsRecord() || s.copies.isDivided() {
		if err := s.divide(ctx); err != nil {
			return err
		}
	}
	records := s.copies.forShards(shards)
	if len(records) > 1 && s.settings.Ledger.isStoreUnresponsive() {
		if err := s.syncRecord(ctx, records[0]); err != nil {
			return err
		}
		records = records[1:]
	}
	return s.syncRecords(ctx, records)
}

// syncRecords syncs records in batches of granitehoist.MaxChanges, with one write for each
// batch. If a record has another version than expected, the write of its batch has no
// effect. The store has then returned all records of the batch, so that the batch is
// written once more; after a second conflict each record is written by itself.
func (s *Syncer) syncRecords(ctx context.Context, records []*recordCopy) error {
	var errs []error
	for batch := range slices.Chunk(records, granitehoist.MaxChanges) {
		err := s.syncTogether(ctx, batch)
		if errors.Is(err, granitehoist.ErrConflict) && len(batch) > 1 {
			err = s.syncTogether(ctx, batch)
		}
		if errors.Is(err, granitehoist.ErrConflict) {
			err = s.syncEach(ctx, batch)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// syncTogether makes one attempt to sync records with one write. Records are always
// locked in the order of their shards.
func (s *Syncer) syncTogether(ctx context.Context, records []*recordCopy) error {
	for _, record := range records {
		record.mu.Lock()
		defer record.mu.Unlock()
	}
	return s.attemptSync(ctx, records)
}

// syncEach syncs records concurrently, each by itself.
func (s *Syncer) syncEach(ctx context.Context, records []*recordCopy) error {
	errs := make([]error, len(records))
	var syncing sync.WaitGroup
	for i, record := range records {
		syncing.Go(func() { errs[i] = s.syncRecord(ctx, record) })
	}
	syncing.Wait()
	return errors.Join(errs...)
}

// syncRecord syncs one record, and retries after conflicts.
func (s *Syncer) syncRecord(ctx context.Context, record *recordCopy) error {
	record.mu.Lock()
	defer record.mu.Unlock()
	err := granitehoist.ErrConflict
	for try := 0; try < conflictTries && errors.Is(err, granitehoist.ErrConflict); try++ {
		pause.For(ctx, time.Duration(try)*conflictPause)
		err = s.attemptSync(ctx, []*recordCopy{record})
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

// callTimeout returns the present timeout of the calls of a sync.
func (s *Syncer) callTimeout() time.Duration {
	return callTimeout(int(s.failures.Load()), s.reached.Load(), s.settings.Timeout)
}

// pendingWrite is a record that a sync is about to write. rows are the rows of record
// that differ from the stored ones. confirms is set if this router confirms the record.
type pendingWrite struct {
	copy     *recordCopy
	record   *Record
	rows     pendingRows
	confirms bool
}

// isNeeded reports whether the record has to be written.
func (w pendingWrite) isNeeded() bool { return w.confirms || w.rows.needsWrite() }

// attemptSync makes one attempt to sync records that the caller has locked: it prepares
// the write of each, and writes all records that change in one write. A record whose
// write can't be prepared does not keep other records from being synced.
func (s *Syncer) attemptSync(ctx context.Context, records []*recordCopy) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	prepared := make([]pendingWrite, len(records))
	errs := make([]error, len(records))
	var preparing sync.WaitGroup
	for i, c := range records {
		preparing.Go(func() { prepared[i], errs[i] = s.prepareWrite(ctx, c, len(records) > 1) })
	}
	preparing.Wait()
	var writes []pendingWrite
	for i, w := range prepared {
		switch {
		case errs[i] != nil:
		case w.isNeeded():
			writes = append(writes, w)
		default:
			w.copy.acknowledge(w.record)
			s.settings.Ledger.confirm(w.record, w.copy.scope, s.settings.Clock())
		}
	}
	if err := s.write(ctx, writes); err != nil {
		return errors.Join(append(errs, err)...)
	}
	for _, w := range writes {
		w.copy.acknowledge(w.record)
		s.logGrants(w.rows, w.copy.lastEntry.Version)
		s.settings.Ledger.confirm(w.record, w.copy.scope, s.settings.Clock())
	}
	return errors.Join(errs...)
}

// prepareWrite prepares the write of a record from its last known version. If no version
// of the store's latest era is known, or the known version leaves nothing to write, it reads
// the record and prepares the write from the version read. batched means that the record is
// written together with other records.
func (s *Syncer) prepareWrite(ctx context.Context, c *recordCopy, batched bool) (pendingWrite, error) {
	fresh := !c.lastEntryValid || c.lastEntry.Version.Era() < s.settings.Ledger.currentEra(0)
	if fresh {
		if err := s.read(ctx, c); err != nil {
			return pendingWrite{}, err
		}
	}
	prepared, err := s.updateRecord(c, batched)
	if err != nil || prepared.isNeeded() || fresh {
		return prepared, err
	}
	// The last known version leaves nothing to write; the newest may.
	if err := s.read(ctx, c); err != nil {
		return pendingWrite{}, err
	}
	return s.updateRecord(c, batched)
}

// read reads a record from the store.
func (s *Syncer) read(ctx context.Context, c *recordCopy) error {
	entry, err := s.settings.Store.Get(ctx, c.key)
	if err != nil {
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
		return err
	}
	s.settings.Ledger.noteStoreResponse(s.settings.Clock())
	s.reached.Store(true)
	c.lastEntry, c.lastEntryValid = entry, true
	return nil
}

// updateRecord adds the ledger's grants and returns to a copy of the last known record.
func (s *Syncer) updateRecord(c *recordCopy, batched bool) (pendingWrite, error) {
	record, err := c.decode()
	if err != nil {
		c.lastEntryValid = false
		return pendingWrite{}, err
	}
	record.era = s.settings.Ledger.currentEra(record.era)
	if record.isDivided() {
		s.copies.markDivided(record)
		return pendingWrite{}, errDivided
	}
	now := s.settings.Clock()
	record.restoreFrom(c.acknowledged)
	self := s.settings.Ledger.settings.Incarnation
	c.predecessor.observe(record, s.settings.Box, self)
	c.predecessor.complete(record)
	record.RegisterIncarnation(s.settings.Box, self, s.settings.Ledger.settings.Machine)
	w := pendingWrite{copy: c, record: record, confirms: s.updateConfirmed(record, c, now)}
	w.rows = s.settings.Ledger.updateRows(record, c.scope, batched, s.settings.Routers(), now)
	return w, nil
}

// write replaces the last known records in the store, all or none.
func (s *Syncer) write(ctx context.Context, writes []pendingWrite) error {
	if len(writes) == 0 {
		return nil
	}
	changes, err := changesOf(writes)
	if err != nil {
		return err
	}
	version, err := s.settings.Store.CompareAndSwapAll(ctx, changes)
	if err != nil {
		s.noteWriteFailure(writes, err)
		return err
	}
	s.settings.Ledger.noteStoreResponse(s.settings.Clock())
	for i, w := range writes {
		w.copy.lastEntry = granitehoist.Entry{Key: w.copy.key, Value: changes[i].Value, Version: version}
		w.record.era = version.Era()
	}
	return nil
}

// changesOf returns the changes for the store. It returns an error if a record is too
// large.
func changesOf(writes []pendingWrite) ([]granitehoist.Change, error) {
	changes := make([]granitehoist.Change, 0, len(writes))
	for _, w := range writes {
		value, err := w.record.Encode()
		if err != nil {
			return nil, err
		}
		changes = append(changes, granitehoist.Change{Key: w.copy.key, Value: value, Expect: w.copy.lastEntry.Version})
	}
	return changes, nil
}

// noteWriteFailure updates the record copies after a failed write. After a conflict a copy
// becomes the entry that the store returned for it. A copy for which the store returned no
// entry is read again at the next sync.
func (s *Syncer) noteWriteFailure(writes []pendingWrite, err error) {
	var conflict *granitehoist.Conflict
	isConflict := errors.As(err, &conflict)
	switch {
	case isConflict:
		s.settings.Ledger.noteStoreResponse(s.settings.Clock())
	case !errors.Is(err, granitehoist.ErrConflict):
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	for _, w := range writes {
		current, known := granitehoist.Entry{}, false
		if isConflict {
			current, known = conflict.Entry(w.copy.key)
		}
		w.copy.lastEntry, w.copy.lastEntryValid = current, known
	}
}

// logGrants logs the rows that were written with a version of their record.
func (s *Syncer) logGrants(rows pendingRows, version granitehoist.Version) {
	for w, written := range rows {
		s.settings.Log.Info(event.BudgetGrant,
			zap.String("workspace", string(w)),
			zap.Int64("granted", int64(written.row.Granted)), zap.Int64("returned", int64(written.row.Returned)),
			zap.Int64("spent", int64(written.row.Spent)), zap.Int64("idle", int64(written.row.Idle)),
			zap.Int64("rest", int64(written.remaining)), zap.Int64("prepaid", int64(written.limit)),
			zap.Int64("unconfirmed", int64(written.unconfirmed)),
			zap.Uint64("version", version.Revision()))
	}
}
