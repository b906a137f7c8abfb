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
	// conflictTries bounds the attempts of one sync while its writes conflict with those
	// of other routers.
	conflictTries = 8
	// conflictPause is the increase of the delay with each attempt.
	conflictPause = time.Millisecond
)

// Sync writes the ledger's grants and returns into the records of all workspaces for
// which this router uses them. It starts from the last known version of a record; if
// that is outdated, the store refuses the write and returns the newest one. After an
// error the ledger owns no more than the store has confirmed; if the outcome of a write
// is unknown, the next sync reads whether it took effect. It returns errors of the
// store, ErrConflict after conflictTries, or an error if a record can't be decoded or is
// too large. Concurrent calls are serialized for each record.
func (s *Syncer) Sync(ctx context.Context) error {
	return s.syncShards(ctx, s.settings.Ledger.usedShards(s.settings.Clock()))
}

// syncShards syncs the records that have the given shards. While the store is
// unresponsive, it syncs one record first, and the others only if that succeeds.
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
	if s.settings.ShardsRecord() && !s.copies.isDivided() {
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

// syncRecords syncs records with one write per granitehoist.MaxChanges of them. If one
// of the records has another version than expected, the write has no effect, and each of
// them is synced by itself.
func (s *Syncer) syncRecords(ctx context.Context, records []*recordCopy) error {
	var errs []error
	for batch := range slices.Chunk(records, granitehoist.MaxChanges) {
		err := s.syncTogether(ctx, batch)
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

// draft is a record with this router's rows as they are to be written.
type draft struct {
	copy    *recordCopy
	record  *Record
	planned plan
}

// attemptSync makes one attempt to sync records that the caller has locked: it drafts
// each, and writes those that change in one write. A record that can't be drafted does
// not keep the others from being synced.
func (s *Syncer) attemptSync(ctx context.Context, records []*recordCopy) error {
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

// draft drafts a record from its last known version. If no version is known, or the
// known one leaves nothing to write, it reads the record first and drafts from that.
// batched means that the record is written together with others.
func (s *Syncer) draft(ctx context.Context, c *recordCopy, batched bool) (draft, error) {
	fresh := !c.lastEntryValid
	if fresh {
		if err := s.read(ctx, c); err != nil {
			return draft{}, err
		}
	}
	record, planned, err := s.plan(c, batched)
	if err != nil || planned.isWrite() || fresh {
		return draft{c, record, planned}, err
	}
	// The last known version leaves nothing to grant or return; the newest may differ.
	if err := s.read(ctx, c); err != nil {
		return draft{}, err
	}
	record, planned, err = s.plan(c, batched)
	return draft{c, record, planned}, err
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

// plan adds the ledger's grants and returns to a copy of the last known record.
func (s *Syncer) plan(c *recordCopy, batched bool) (*Record, plan, error) {
	record, err := c.decode()
	if err != nil {
		c.lastEntryValid = false
		return nil, nil, err
	}
	if record.isDivided() {
		s.copies.markDivided(record)
		return nil, nil, errDivided
	}
	record.RegisterIncarnation(s.settings.Box, s.settings.Ledger.settings.Incarnation)
	return record, s.settings.Ledger.prepare(record, c.scope, batched, s.settings.Routers(), s.settings.Clock()), nil
}

// write replaces the last known records in the store, all or none.
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
	s.settings.Ledger.noteStoreResponse(s.settings.Clock())
	for i, d := range drafts {
		d.copy.lastEntry = granitehoist.Entry{Key: d.copy.key, Value: changes[i].Value, Version: version}
	}
	return nil
}

// changesOf returns the changes that write drafts. It returns an error if one of them is
// too large.
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

// noteWriteFailure updates the record copies after a failed write. After a conflict they
// become the entries that the store returned. A copy without such an entry is read again
// at the next sync.
func (s *Syncer) noteWriteFailure(drafts []draft, err error) {
	var conflict *granitehoist.Conflict
	isConflict := errors.As(err, &conflict)
	switch {
	case isConflict:
		s.settings.Ledger.noteStoreResponse(s.settings.Clock())
	case !errors.Is(err, granitehoist.ErrConflict):
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	for _, d := range drafts {
		current, known := granitehoist.Entry{}, false
		if isConflict {
			current, known = conflict.Entry(d.copy.key)
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
