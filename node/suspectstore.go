// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/suspect"
)

// What has to survive a restart of all nodes is in the store: the secret that keys the
// digests, and the evidence against each request that is refused, under a lease of
// suspect.DefaultBlock. A node writes what it saw itself, with two calls for a request that
// is refused. Relays read the prefix when they start, the other nodes pull from relays.
const (
	suspectsPrefix   = "suspects/"
	suspectSecretKey = suspectsPrefix + "secret"
	// refusedPrefix begins the keys of the evidence, each followed by the digest.
	refusedPrefix = suspectsPrefix + "refused/"
	// keepRetryPause is the time to the next attempt after a call to the store failed.
	keepRetryPause = 500 * time.Millisecond
)

// runKeeping loads what the store has, then writes what this node sees, until ctx ends.
func (s *suspects) runKeeping(ctx context.Context) {
	s.loadAtStart(ctx)
	s.gate.read()
	kept := uint64(0)
	for ctx.Err() == nil {
		records, version := s.table.ObservedAfter(kept)
		if err := s.keepAll(ctx, records); err != nil {
			s.logKeepFailed(err)
			pause.For(ctx, keepRetryPause)
			continue
		}
		kept = version
		if len(records) == suspect.MaxRecords {
			continue
		}
		if s.cutOff.Swap(false) {
			s.catchUp(ctx)
		}
		waitFor(ctx, s.toKeep)
	}
}

// loadAtStart loads what the store has, until it has or ctx ends.
func (s *suspects) loadAtStart(ctx context.Context) {
	for !s.peers.knowsRelays() && ctx.Err() == nil {
		pause.For(ctx, startPoll)
	}
	for try := 1; ctx.Err() == nil && !s.load(ctx, try); try++ {
		pause.For(ctx, keepRetryPause)
	}
}

// catchUp reads the store again, for a node that the others can't reach.
func (s *suspects) catchUp(ctx context.Context) {
	if err := s.read(ctx); err != nil {
		s.logKeepFailed(err)
	}
	pause.For(ctx, keepRetryPause)
}

// waitFor waits until c has something or ctx ends.
func waitFor(ctx context.Context, c <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-c:
	}
}

// relayLoads is the number of tries in which a node that is no relay asks relays only: 3
// s, in which relays that start together with it have read the store.
const relayLoads = 6

// load gets the secret and the evidence from relays or from the store, and reports whether
// it did. try counts the calls.
func (s *suspects) load(ctx context.Context, try int) bool {
	relays := s.peers.view().relayEntries()
	if len(relays) > 0 && s.pull(ctx, relays) > 0 && s.table.Secret() != nil {
		return true
	}
	if len(relays) > 0 && try <= relayLoads {
		return false
	}
	err := s.read(ctx)
	if err != nil {
		s.logKeepFailed(err)
	}
	return err == nil && s.table.Secret() != nil
}

// read reads the store, and writes a secret if there is none. If another
// node wrote one meanwhile, the next read finds it.
func (s *suspects) read(ctx context.Context) error {
	entries, _, err := s.store.List(ctx, suspectsPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := s.adopt(e); err != nil {
			s.log.Error(event.SuspectBad, zap.String("key", e.Key), zap.Error(err))
		}
	}
	if s.table.Secret() != nil {
		return nil
	}
	return s.writeSecret(ctx)
}

// adopt takes an entry of the store.
func (s *suspects) adopt(e granitehoist.Entry) error {
	if e.Key == suspectSecretKey {
		var secret suspect.Secret
		if err := json.Unmarshal(e.Value, &secret); err != nil {
			return err
		}
		s.table.SetSecret(secret)
		return nil
	}
	var record suspect.Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return err
	}
	s.table.Merge([]suspect.Record{record}, s.clock())
	return nil
}

// writeSecret writes a new secret where there is none. It is used only once the store
// has taken it.
func (s *suspects) writeSecret(ctx context.Context) error {
	secret := suspect.NewSecret(rand.Reader)
	value, err := json.Marshal(secret)
	if err != nil {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, granitehoist.Change{Key: suspectSecretKey, Value: value})
	if errors.Is(err, granitehoist.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	s.table.SetSecret(secret)
	return nil
}

// keepAll writes those of the records that suffice to refuse a request, and deletes those
// of requests that have succeeded since: a node that starts would refuse them until the
// lease ends. The block of a scope lasts for seconds, less than a restart, and is not kept.
func (s *suspects) keepAll(ctx context.Context, records []suspect.Record) error {
	for _, r := range records {
		var err error
		switch {
		case r.Scope:
		case r.Enough():
			err = s.keep(ctx, r)
		case r.IsCleared():
			err = s.drop(ctx, r)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// drop deletes the record of a request, if there is one.
func (s *suspects) drop(ctx context.Context, r suspect.Record) error {
	entry, err := s.store.Get(ctx, refusedPrefix+r.Digest.String())
	if err != nil || entry.Version == 0 {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, granitehoist.Change{Key: entry.Key, Expect: entry.Version, Delete: true})
	if errors.Is(err, granitehoist.ErrConflict) {
		// Another node has deleted it, or written it anew after a later crash.
		return nil
	}
	return err
}

// keep writes a record under a lease, unless another node has written one.
func (s *suspects) keep(ctx context.Context, r suspect.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	lease, err := s.store.GrantLease(ctx, suspect.DefaultBlock)
	if err != nil {
		return err
	}
	change := granitehoist.Change{Key: refusedPrefix + r.Digest.String(), Value: value, Lease: lease}
	_, err = s.store.CompareAndSwap(ctx, change)
	if errors.Is(err, granitehoist.ErrConflict) {
		return nil
	}
	return err
}
