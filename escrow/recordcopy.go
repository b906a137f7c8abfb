// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"errors"
	"sync"

	"granitehoist.example/granitehoist"
)

// scope is the workspaces that one record has.
type scope struct {
	// divided says that they are those of shard, and not all.
	divided bool
	shard   Shard
}

// covers reports whether a workspace is in the scope.
func (s scope) covers(w granitehoist.Workspace) bool { return !s.divided || ShardOf(w) == s.shard }

// recordCopy is a record as this router last saw it in the store.
type recordCopy struct {
	key   string
	scope scope
	// begins is what the record is as long as the store has none; nil for an empty
	// one.
	begins *Record

	// mu is held during a sync, its calls included, and guards what follows.
	mu sync.Mutex
	// lastEntry is the record as it last was in the store, if lastEntryValid is
	// set: after a write of unknown outcome it has to be read again.
	lastEntry      granitehoist.Entry
	lastEntryValid bool
}

// decode returns the record last seen, for the caller to change.
func (c *recordCopy) decode() (*Record, error) {
	if c.lastEntry.Version == 0 && c.begins != nil {
		return c.begins.part(c.scope.shard), nil
	}
	return DecodeRecord(c.lastEntry)
}

// copies holds the records that a router uses: that of all workspaces, or those of
// shards once it has been divided. It is safe for concurrent use.
type copies struct {
	whole recordCopy

	// mu guards what follows. No call is made while it is held.
	mu sync.Mutex
	// frozen is the divided record, nil as long as this router has not seen one.
	frozen *Record
	shards map[Shard]*recordCopy
}

// errDivided says that the record of all workspaces has been divided.
var errDivided = errors.New("escrow: the record has been divided into shards")

// divided notes that the record of all workspaces has been divided.
func (c *copies) divided(frozen *Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen == nil {
		c.frozen, c.shards = frozen, map[Shard]*recordCopy{}
	}
}

// isDivided reports whether divided was called.
func (c *copies) isDivided() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frozen != nil
}

// of returns the records that have the given shards.
func (c *copies) of(shards []Shard) []*recordCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen == nil {
		return []*recordCopy{&c.whole}
	}
	var used []*recordCopy
	for _, shard := range shards {
		record, ok := c.shards[shard]
		if !ok {
			record = &recordCopy{key: shard.key(), scope: scope{divided: true, shard: shard}, begins: c.frozen}
			c.shards[shard] = record
		}
		used = append(used, record)
	}
	return used
}

// divide has the record of all workspaces divided if the fleet is large and it has
// not been. Several routers may do so at once: one of their writes takes effect, and
// the others read it. The errors are those of Sync.
func (s *Syncer) divide(ctx context.Context) error {
	whole := &s.copies.whole
	whole.mu.Lock()
	defer whole.mu.Unlock()
	for range conflictTries {
		if s.copies.isDivided() {
			return nil
		}
		if err := s.tryDivide(ctx, whole); err != nil && !errors.Is(err, granitehoist.ErrConflict) {
			return err
		}
	}
	return granitehoist.ErrConflict
}

// tryDivide makes one attempt of divide, with the record last seen.
func (s *Syncer) tryDivide(ctx context.Context, whole *recordCopy) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	if !whole.lastEntryValid {
		if err := s.read(ctx, whole); err != nil {
			return err
		}
	}
	record, err := whole.decode()
	if err != nil {
		whole.lastEntryValid = false
		return err
	}
	if !record.isDivided() {
		record.divide()
		if err := s.write(ctx, []draft{{copy: whole, record: record}}); err != nil {
			return err
		}
	}
	s.copies.divided(record)
	return nil
}
