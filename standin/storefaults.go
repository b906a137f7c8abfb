// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
)

// StoreFaults are the failures that a Store shows after Store.Fail.
type StoreFaults struct {
	// Down refuses every call.
	Down bool
	// Silent answers no call: calls fail with an unknown outcome and have no
	// effect.
	Silent bool
	// LoseEvery makes every n-th write lose its answer after it took effect; zero
	// loses none.
	LoseEvery int
	// DropEvery makes every n-th write lose its answer and have no effect; zero
	// drops none.
	DropEvery int
	// Delay is added to each call.
	Delay time.Duration
}

// StoreCalls counts the calls of a Store. Lease calls count as writes. A watch
// counts once more each time that a write wakes it.
type StoreCalls struct {
	Reads, Writes, Watches int
}

// Fail replaces the failures from now on.
func (s *Store) Fail(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the failures that are set.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the counts of calls.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// enter begins a call: it delays and refuses it as the faults say. If it returns
// no error the store is locked, and the caller unlocks it.
func (s *Store) enter(ctx context.Context) error {
	s.mu.Lock()
	if delay := s.faults.Delay; delay > 0 {
		s.mu.Unlock()
		pause.For(ctx, delay)
		s.mu.Lock()
	}
	switch {
	case ctx.Err() != nil:
		s.mu.Unlock()
		return granitehoist.ErrUnknown
	case s.faults.Down:
		s.mu.Unlock()
		return granitehoist.ErrUnavailable
	case s.faults.Silent:
		s.mu.Unlock()
		return granitehoist.ErrUnknown
	}
	s.expire()
	return nil
}

// isEveryNth reports whether a count is a multiple of n; it never is if n is zero.
func isEveryNth(n, count int) bool { return n > 0 && count%n == 0 }
