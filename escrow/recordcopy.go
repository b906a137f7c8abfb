// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"granitehoist.example/granitehoist"
)

// scope is the set of workspaces in one record.
type scope struct {
	// divided is set if the scope has only the workspaces of shard; if not, it has all.
	divided bool
	shard   Shard
}

// covers reports whether a workspace is in the scope.
func (s scope) covers(w granitehoist.Workspace) bool { return !s.divided || ShardOf(w) == s.shard }

// recordCopy is a record as this router last saw it in the store.
type recordCopy struct {
	key   string
	scope scope
	// initial is the divided record from which a shard's record starts while the store
	// has none; nil means an empty record.
	initial *Record

	// mu is held during a sync, its calls included, and guards the fields below.
	mu sync.Mutex
	// lastEntry is the last known entry of the store. It may be used if lastEntryValid is
	// set. After a write of unknown outcome lastEntryValid is not set, and the record has
	// to be read again.
	lastEntry      granitehoist.Entry
	lastEntryValid bool
	predecessor    predecessor
	// acknowledged is the latest record that this router has read from the store or that
	// the store has acknowledged, nil if there is none.
	acknowledged *Record
	absent       absentBoxes

	// nextEra is the era after the one of acknowledged, zero if there is none. It may be
	// read without holding mu.
	nextEra atomic.Uint64
}

// decode returns a new copy of the last known record.
func (c *recordCopy) decode() (*Record, error) {
	if c.lastEntry.Version == 0 && c.initial != nil {
		return c.initial.forShard(c.scope.shard), nil
	}
	return DecodeRecord(c.lastEntry)
}

// acknowledge notes that the store has returned or acknowledged a record. The caller holds
// mu.
func (c *recordCopy) acknowledge(r *Record) {
	c.acknowledged = r
	c.nextEra.Store(uint64(r.era) + 1)
}

// isOfEra reports whether the store has acknowledged the record in an era.
func (c *recordCopy) isOfEra(era granitehoist.Era) bool {
	return c.nextEra.Load() > uint64(era)
}

// recordCopies holds the records that a router uses: the undivided one, or those of
// shards once it has been divided. It is safe for concurrent use.
type recordCopies struct {
	undivided recordCopy

	// mu guards the fields below. No call is made while it is held.
	mu sync.Mutex
	// base is the divided record, nil until this router has seen it. dividedIn is the latest
	// era of the store in which it has.
	base      *Record
	dividedIn granitehoist.Era
	shards    map[Shard]*recordCopy
}

// errDivided means that the record of all workspaces has been divided.
var errDivided = errors.New("escrow: the record has been divided into shards")

// markDivided records that the record was divided in its era. The first divided record is
// the one from which the records of shards start.
func (c *recordCopies) markDivided(dividedRecord *Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dividedIn = max(c.dividedIn, dividedRecord.era)
	if c.base == nil {
		c.base, c.shards = dividedRecord, map[Shard]*recordCopy{}
	}
}

// isDivided reports whether markDivided was called.
func (c *recordCopies) isDivided() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.base != nil
}

// isDividedIn reports whether markDivided was called in an era of the store: in an earlier
// one the store may have lost the division.
func (c *recordCopies) isDividedIn(era granitehoist.Era) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.base != nil && c.dividedIn >= era
}

// forShards returns the records of the given shards; before markDivided, the undivided
// record.
func (c *recordCopies) forShards(shards []Shard) []*recordCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.base == nil {
		return []*recordCopy{&c.undivided}
	}
	var used []*recordCopy
	for _, shard := range shards {
		record, ok := c.shards[shard]
		if !ok {
			record = &recordCopy{key: shard.key(), scope: scope{divided: true, shard: shard}, initial: c.base, absent: absentBoxes{}}
			c.shards[shard] = record
		}
		used = append(used, record)
	}
	return used
}

// outdated returns the shards whose records this router uses and has not read in an era, and whether there are such records. The undivided record counts as used
// from the start, so that this router knows what its predecessors on the box were granted.
func (c *recordCopies) outdated(era granitehoist.Era) ([]Shard, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.base == nil {
		return nil, !c.undivided.isOfEra(era)
	}
	var shards []Shard
	for shard, record := range c.shards {
		if !record.isOfEra(era) {
			shards = append(shards, shard)
		}
	}
	return shards, len(shards) > 0
}

// divide divides the record of all workspaces unless it has been divided already, in the
// store's latest era. Several routers may try at once: one write takes effect, and the other
// routers read the result. The errors are those of Sync.
func (s *Syncer) divide(ctx context.Context) error {
	era := s.settings.Ledger.currentEra(0)
	if s.copies.isDividedIn(era) {
		return nil
	}
	whole := &s.copies.undivided
	whole.mu.Lock()
	defer whole.mu.Unlock()
	for range conflictTries {
		if s.copies.isDividedIn(era) {
			return nil
		}
		if err := s.tryDivide(ctx, whole, era); err != nil && !errors.Is(err, granitehoist.ErrConflict) {
			return err
		}
	}
	return granitehoist.ErrConflict
}

// tryDivide makes one attempt of divide, with the last known record of an era.
func (s *Syncer) tryDivide(ctx context.Context, whole *recordCopy, era granitehoist.Era) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	if !whole.lastEntryValid || whole.lastEntry.Version.Era() < era {
		if err := s.read(ctx, whole); err != nil {
			return err
		}
	}
	record, err := whole.decode()
	if err != nil {
		whole.lastEntryValid = false
		return err
	}
	record.era = s.settings.Ledger.currentEra(record.era)
	if !record.isDivided() {
		record.divide()
		if err := s.write(ctx, []pendingWrite{{copy: whole, record: record}}); err != nil {
			return err
		}
	}
	s.copies.markDivided(record)
	return nil
}
