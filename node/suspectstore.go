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

// The store holds what has to survive a restart of all nodes: the secret with which the
// digests of requests are computed, and the evidence against each refused request, under
// a lease of suspect.DefaultBlockDuration. Each node writes its own observations. When a
// relay starts, it reads both from the store. Other nodes pull them from relays.
const (
	suspectsPrefix   = "suspects/"
	suspectSecretKey = suspectsPrefix + "secret"
	// refusedPrefix is the prefix of the evidence, followed by the digest of the request.
	refusedPrefix = suspectsPrefix + "refused/"
	// storeRetryDelay is the delay before a failed call to the store is retried.
	storeRetryDelay = 500 * time.Millisecond
)

// runStore loads the stored evidence, then writes this node's observations, until ctx
// ends.
func (s *suspects) runStore(ctx context.Context) {
	s.loadAtStart(ctx)
	s.gate.sourceRead()
	storedVersion := uint64(0)
	for ctx.Err() == nil {
		records, version := s.table.ObservedAfter(storedVersion)
		if err := s.storeAll(ctx, records); err != nil {
			s.logStoreFailed(err)
			pause.For(ctx, storeRetryDelay)
			continue
		}
		storedVersion = version
		if len(records) == suspect.MaxRecords {
			continue
		}
		if s.restored.Swap(false) && s.peers.rewritesForFleet() {
			s.rewriteStore(ctx)
		}
		if s.storeReadRequested.Swap(false) {
			s.reloadFromStore(ctx)
		}
		waitForWake(ctx, s.storeWake)
	}
}

// loadAtStart loads the stored evidence, retrying until it succeeds or ctx ends.
func (s *suspects) loadAtStart(ctx context.Context) {
	for !s.peers.knowsRelays() && ctx.Err() == nil {
		pause.For(ctx, startPollInterval)
	}
	for try := 1; ctx.Err() == nil && !s.load(ctx, try); try++ {
		pause.For(ctx, storeRetryDelay)
	}
}

// reloadFromStore reads the stored evidence once more and logs an error. It then waits
// storeRetryDelay, so that repeated requests do not overload the store.
func (s *suspects) reloadFromStore(ctx context.Context) {
	if err := s.readStore(ctx); err != nil {
		s.logStoreFailed(err)
	}
	pause.For(ctx, storeRetryDelay)
}

// noteRestored makes runStore write again what the store may have lost in returning from an
// older copy.
func (s *suspects) noteRestored() {
	s.restored.Store(true)
	wake(s.storeWake)
}

// rewriteStore writes again the secret and the evidence against refused requests that the
// store lacks, and deletes the evidence that was cleared. A failure is tried again.
func (s *suspects) rewriteStore(ctx context.Context) {
	pauseToRewrite(ctx)
	if err := s.tryRewriteStore(ctx); err != nil && ctx.Err() == nil {
		s.logStoreFailed(err)
		pause.For(ctx, storeRetryDelay)
		s.noteRestored()
	}
}

// tryRewriteStore implements rewriteStore and returns the first error of the store.
func (s *suspects) tryRewriteStore(ctx context.Context) error {
	entries, _, err := s.store.List(ctx, suspectsPrefix)
	if err != nil {
		return err
	}
	stored := map[string]bool{}
	for _, e := range entries {
		stored[e.Key] = true
	}
	if secret := s.table.Secret(); secret != nil && !stored[suspectSecretKey] {
		if err := s.storeSecret(ctx, *secret); err != nil {
			return err
		}
	}
	observed, _ := s.table.ObservedAfter(0)
	for _, r := range append(s.table.Uncleared(), observed...) {
		if stored[refusedPrefix+r.Digest.String()] == r.Sufficient() {
			continue
		}
		if err := s.storeAll(ctx, []suspect.Record{r}); err != nil {
			return err
		}
	}
	return nil
}

// waitForWake waits until c receives or ctx ends.
func waitForWake(ctx context.Context, c <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-c:
	}
}

// maxRelayLoads is the number of attempts in which a node that is not a relay queries only
// relays. It gives relays that start at the same time enough time to read the store. In
// later attempts the node reads the store if no relay returns a secret.
const maxRelayLoads = 6

// load reads the secret and the evidence from relays or from the store, and reports
// whether it succeeded. try is the number of the attempt, from 1.
func (s *suspects) load(ctx context.Context, try int) bool {
	relays := s.peers.view().relayEntries()
	if len(relays) > 0 {
		if responded, _ := s.pull(ctx, relays); responded > 0 && s.table.Secret() != nil {
			return true
		}
	}
	if len(relays) > 0 && try <= maxRelayLoads {
		return false
	}
	err := s.readStore(ctx)
	if err != nil {
		s.logStoreFailed(err)
	}
	return err == nil && s.table.Secret() != nil
}

// readStore reads the evidence from the store, and writes a secret if there is none. If
// another node writes one first, the next read returns it.
func (s *suspects) readStore(ctx context.Context) error {
	entries, _, err := s.store.List(ctx, suspectsPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := s.applyEntry(e); err != nil {
			s.log.Error(event.SuspectBad, zap.String("key", e.Key), zap.Error(err))
		}
	}
	if s.table.Secret() != nil {
		return nil
	}
	// A restored store may have lost the secret that the neighbours use.
	s.pull(ctx, s.peers.nextNeighbours(maxPullPeers))
	if secret := s.table.Secret(); secret != nil {
		return s.storeSecret(ctx, *secret)
	}
	return s.writeSecret(ctx)
}

// applyEntry applies an entry of the store. It returns an error if the entry cannot be
// decoded.
func (s *suspects) applyEntry(e granitehoist.Entry) error {
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

// writeSecret writes a new secret unless there is one, and uses it only once it is
// stored.
func (s *suspects) writeSecret(ctx context.Context) error {
	return s.storeSecret(ctx, suspect.NewSecret(rand.Reader))
}

// storeSecret writes a secret and uses it, unless the store has one. It returns the error of
// the store.
func (s *suspects) storeSecret(ctx context.Context, secret suspect.Secret) error {
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

// storeAll writes the records that suffice to refuse a request. It deletes the stored
// record of a request that was cleared; otherwise a starting node would refuse the
// request until the lease ends. Records of scopes are not stored, since the block of a
// scope is shorter than a restart.
func (s *suspects) storeAll(ctx context.Context, records []suspect.Record) error {
	for _, r := range records {
		var err error
		switch {
		case r.Scope:
		case r.Sufficient():
			err = s.storeRecord(ctx, r)
		case r.IsCleared():
			err = s.deleteRecord(ctx, r)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// deleteRecord deletes the stored record of a request, if there is one.
func (s *suspects) deleteRecord(ctx context.Context, r suspect.Record) error {
	entry, err := s.store.Get(ctx, refusedPrefix+r.Digest.String())
	if err != nil || entry.Version == 0 {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, granitehoist.Change{Key: entry.Key, Expect: entry.Version, Delete: true})
	if errors.Is(err, granitehoist.ErrConflict) {
		// Another node has deleted it, or rewritten it after a later crash.
		return nil
	}
	return err
}

// storeRecord writes a record under a lease, unless another node has written one.
func (s *suspects) storeRecord(ctx context.Context, r suspect.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	lease, err := s.store.GrantLease(ctx, suspect.DefaultBlockDuration)
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
