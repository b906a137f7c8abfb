// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config_test

import (
	"context"

	"granitehoist.example/granitehoist"
)

// readFaults is a store whose write loses its answer, and whose reads after that
// fail for a while.
type readFaults struct {
	granitehoist.Store
	// dropWrite says that the write has no effect.
	dropWrite bool
	// fails is the number of reads after the write that fail.
	fails int
	wrote bool
	// reads counts the reads after the write.
	reads int
}

// CompareAndSwap implements granitehoist.Store.
func (s *readFaults) CompareAndSwap(ctx context.Context, change granitehoist.Change) (granitehoist.Version, error) {
	s.wrote = true
	if !s.dropWrite {
		if _, err := s.Store.CompareAndSwap(ctx, change); err != nil {
			return 0, err
		}
	}
	return 0, granitehoist.ErrUnknown
}

// Get implements granitehoist.Store.
func (s *readFaults) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	if s.wrote {
		s.reads++
		if s.reads <= s.fails {
			return granitehoist.Entry{}, granitehoist.ErrUnavailable
		}
	}
	return s.Store.Get(ctx, key)
}
