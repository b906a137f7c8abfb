// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// countedStore wraps a store, counts its calls by method, key prefix and result, and notes
// the era of the store.
type countedStore struct {
	granitehoist.Store
	count func(call, prefix, result string)
	// onExceeded is called with each response that exceeded a bound.
	onExceeded func(call string, e *readlimit.Error)
	clock      granitehoist.Clock
	eras       storeEras
}

// keyPrefix returns a key up to its first slash, that slash included, and the whole key if
// it has none.
func keyPrefix(key string) string {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// prefixOfAll returns the prefix of the first change, and nothing without changes. The
// changes of one write have the same prefix.
func prefixOfAll(changes []granitehoist.Change) string {
	if len(changes) == 0 {
		return ""
	}
	return keyPrefix(changes[0].Key)
}

// countResult counts a call by its error. prefix is empty for calls without a key. Any
// error other than the store's own counts as unknown: the call may or may not have been
// executed.
func (s *countedStore) countResult(call, prefix string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, granitehoist.ErrConflict):
		result = "conflict"
	case errors.Is(err, granitehoist.ErrUnavailable):
		result = "refused"
	case errors.Is(err, granitehoist.ErrHistoryGone):
		result = "history_gone"
	default:
		result = "unknown"
	}
	s.count(call, prefix, result)
	if exceeded := readlimit.Of(err); exceeded != nil && s.onExceeded != nil {
		s.onExceeded(call, exceeded)
	}
}

// Get implements granitehoist.Store.
func (s *countedStore) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.countResult("get", keyPrefix(key), err)
	s.eras.note(entry.Version, s.clock())
	return entry, err
}

// List implements granitehoist.Store.
func (s *countedStore) List(ctx context.Context, prefix string) ([]granitehoist.Entry, granitehoist.Version, error) {
	entries, at, err := s.Store.List(ctx, prefix)
	s.countResult("list", keyPrefix(prefix), err)
	s.eras.note(at, s.clock())
	return entries, at, err
}

// CompareAndSwap implements granitehoist.Store.
func (s *countedStore) CompareAndSwap(ctx context.Context, change granitehoist.Change) (granitehoist.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, change)
	s.countResult("write", keyPrefix(change.Key), err)
	s.eras.note(version, s.clock())
	return version, err
}

// CompareAndSwapAll implements granitehoist.Store.
func (s *countedStore) CompareAndSwapAll(ctx context.Context, changes []granitehoist.Change) (granitehoist.Version, error) {
	version, err := s.Store.CompareAndSwapAll(ctx, changes)
	s.countResult("write", prefixOfAll(changes), err)
	s.eras.note(version, s.clock())
	return version, err
}

// Watch implements granitehoist.Store.
func (s *countedStore) Watch(ctx context.Context, prefix string, after granitehoist.Version, wait time.Duration) ([]granitehoist.Entry, granitehoist.Version, error) {
	entries, at, err := s.Store.Watch(ctx, prefix, after, wait)
	s.countResult("watch", keyPrefix(prefix), err)
	s.eras.note(at, s.clock())
	return entries, at, err
}

// GrantLease implements granitehoist.Store.
func (s *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (granitehoist.LeaseID, error) {
	id, err := s.Store.GrantLease(ctx, ttl)
	s.countResult("lease", "", err)
	return id, err
}

// RenewLease implements granitehoist.Store.
func (s *countedStore) RenewLease(ctx context.Context, id granitehoist.LeaseID) error {
	err := s.Store.RenewLease(ctx, id)
	s.countResult("renew", "", err)
	return err
}
