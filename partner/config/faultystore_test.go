// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config_test

import (
	"context"

	"granitehoist.example/granitehoist"
)

// faultyStore is a store whose writes return ErrUnknown, and whose first reads after a
// write fail.
type faultyStore struct {
	granitehoist.Store
	// dropWrite makes writes have no effect.
	dropWrite bool
	// failReads is the number of reads after the write that fail.
	failReads int
	written   bool
	// reads counts the reads after the write.
	reads int
}

// CompareAndSwap implements granitehoist.Store.
func (s *faultyStore) CompareAndSwap(ctx context.Context, change granitehoist.Change) (granitehoist.Version, error) {
	s.written = true
	if !s.dropWrite {
		if _, err := s.Store.CompareAndSwap(ctx, change); err != nil {
			return 0, err
		}
	}
	return 0, granitehoist.ErrUnknown
}

// Get implements granitehoist.Store.
func (s *faultyStore) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	if s.written {
		s.reads++
		if s.reads <= s.failReads {
			return granitehoist.Entry{}, granitehoist.ErrUnavailable
		}
	}
	return s.Store.Get(ctx, key)
}
