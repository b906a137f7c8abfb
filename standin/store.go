// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Store is an in-memory fake of the platform's store and of its list of boxes. It
// implements granitehoist.Store and granitehoist.Platform and is safe for concurrent use.
// The zero value is not usable; use NewStore.
type Store struct {
	now   granitehoist.Clock
	watch time.Duration

	// mu guards the fields below it.
	mu      sync.Mutex
	version granitehoist.Version
	// entries includes deleted keys, so that watches report deletions. All versions are of
	// the current era.
	entries map[string]storedEntry
	leases  map[granitehoist.LeaseID]storedLease
	boxes   map[granitehoist.Box]bool
	// changed is closed and replaced at each write.
	changed chan struct{}
	faults  StoreFaults
	calls   StoreCalls
}

// storedEntry is an entry with the lease that it is bound to, if any.
type storedEntry struct {
	granitehoist.Entry
	lease granitehoist.LeaseID
}

// StoreSettings configure a Store. The zero value is ready to use.
type StoreSettings struct {
	// Clock determines when leases expire; nil means time.Now.
	Clock granitehoist.Clock
	// Watch is the maximum wait of a watch; zero means 20 seconds.
	Watch time.Duration
	// Era is the first era.
	Era granitehoist.Era
}

// defaultStoreWatch is the longest wait that 'granitehoist router' requests.
const defaultStoreWatch = 20 * time.Second

// NewStore returns an empty store.
func NewStore(s StoreSettings) *Store {
	if s.Clock == nil {
		s.Clock = time.Now
	}
	defaults.Set(&s.Watch, defaultStoreWatch)
	return &Store{
		version: granitehoist.NewVersion(s.Era, 0),
		now:     s.Clock,
		watch:   s.Watch,
		entries: map[string]storedEntry{},
		leases:  map[granitehoist.LeaseID]storedLease{},
		boxes:   map[granitehoist.Box]bool{},
		changed: make(chan struct{}),
	}
}

// SetBox adds a box to the list of boxes, or updates whether it is leaving.
func (s *Store) SetBox(b granitehoist.Box, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes[b] = leaving
}

// Boxes implements granitehoist.Platform.
func (s *Store) Boxes(ctx context.Context) (map[granitehoist.Box]bool, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	return maps.Clone(s.boxes), nil
}

// put stores an entry with the current version and wakes all watches. The caller must hold
// the lock.
func (s *Store) put(key string, e storedEntry) {
	e.Key = key
	e.Version = s.version
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements granitehoist.Store.
func (s *Store) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	if err := s.beginCall(ctx); err != nil {
		return granitehoist.Entry{}, err
	}
	defer s.mu.Unlock()
	s.calls.Reads++
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return granitehoist.Entry{Key: key}, nil
	}
	return e.Entry, nil
}

// List implements granitehoist.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]granitehoist.Entry, granitehoist.Version, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	s.calls.Reads++
	live := slices.DeleteFunc(s.changedSince(prefix, 0), func(e granitehoist.Entry) bool { return e.Deleted })
	return live, s.version, nil
}

// changedSince returns the entries under a prefix with a version above after, sorted by
// key and including deletions. The caller must hold the lock.
func (s *Store) changedSince(prefix string, after granitehoist.Version) []granitehoist.Entry {
	var found []granitehoist.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.Version > after {
			found = append(found, e.Entry)
		}
	}
	slices.SortFunc(found, func(a, b granitehoist.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// CompareAndSwap implements granitehoist.Store.
func (s *Store) CompareAndSwap(ctx context.Context, c granitehoist.Change) (granitehoist.Version, error) {
	return s.CompareAndSwapAll(ctx, []granitehoist.Change{c})
}

// CompareAndSwapAll implements granitehoist.Store.
func (s *Store) CompareAndSwapAll(ctx context.Context, changes []granitehoist.Change) (granitehoist.Version, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	if isEveryNth(s.faults.DropEvery, s.calls.Writes) {
		return 0, granitehoist.ErrUnknown
	}
	version, err := s.change(changes)
	if err == nil && isEveryNth(s.faults.LoseEvery, s.calls.Writes) {
		return 0, granitehoist.ErrUnknown
	}
	return version, err
}

// change applies all changes, or none if check rejects any of them. The caller must hold
// the lock.
func (s *Store) change(changes []granitehoist.Change) (granitehoist.Version, error) {
	if len(changes) > granitehoist.MaxChanges {
		return 0, fmt.Errorf("standin: write of %d changes, more than %d", len(changes), granitehoist.MaxChanges)
	}
	for _, c := range changes {
		if err := s.check(c); err != nil {
			return 0, err
		}
	}
	s.version++
	for _, c := range changes {
		e := storedEntry{Entry: granitehoist.Entry{Value: append([]byte(nil), c.Value...), Deleted: c.Delete}, lease: c.Lease}
		s.put(c.Key, e)
	}
	return s.version, nil
}

// check returns an error if the key does not have the expected version, the value is too
// large or the lease does not exist. The caller must hold the lock.
func (s *Store) check(c granitehoist.Change) error {
	var current granitehoist.Version
	if e, ok := s.entries[c.Key]; ok && !e.Deleted {
		current = e.Version
	}
	if current != c.Expect {
		return granitehoist.ErrConflict
	}
	if len(c.Value) > granitehoist.MaxValueSize {
		return fmt.Errorf("standin: value of %q has %d bytes, more than %d", c.Key, len(c.Value), granitehoist.MaxValueSize)
	}
	if _, ok := s.leases[c.Lease]; c.Lease != "" && !ok {
		return granitehoist.ErrNoLease
	}
	return nil
}

// Watch implements granitehoist.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after granitehoist.Version, wait time.Duration) ([]granitehoist.Entry, granitehoist.Version, error) {
	if wait <= 0 || wait > s.watch {
		wait = s.watch
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := s.beginCall(ctx); err != nil {
			return nil, 0, err
		}
		s.calls.Watches++
		found, version, changed := s.changedSince(prefix, after), s.version, s.changed
		s.mu.Unlock()
		if after > version || after.Era() != version.Era() {
			return nil, 0, granitehoist.ErrHistoryGone
		}
		if len(found) > 0 {
			return found, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, granitehoist.ErrUnknown
		}
	}
}
