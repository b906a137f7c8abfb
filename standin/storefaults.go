// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
)

// StoreFaults are the faults that a Store injects.
type StoreFaults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool
	// Hang makes every call fail with ErrUnknown and without effect.
	Hang bool
	// LoseEvery makes every n-th write return ErrUnknown after it took effect; zero
	// affects none.
	LoseEvery int
	// DropEvery makes every n-th write return ErrUnknown without effect; zero affects
	// none.
	DropEvery int
	// Delay is added to the start of each call.
	Delay time.Duration
}

// StoreCalls holds the numbers of calls of a Store. Lease calls count as writes. A watch
// counts again each time that a write wakes the watch.
type StoreCalls struct {
	Reads, Writes, Watches int
}

// Fail replaces the faults for calls that begin afterwards.
func (s *Store) Fail(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the numbers of calls so far.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// beginCall applies the faults to a call and expires leases. If it returns nil, it holds the
// lock, which the caller must release.
func (s *Store) beginCall(ctx context.Context) error {
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
	case s.faults.Hang:
		s.mu.Unlock()
		return granitehoist.ErrUnknown
	}
	s.expire()
	return nil
}

// isEveryNth reports whether count is a multiple of n. It returns false if n is zero.
func isEveryNth(n, count int) bool { return n > 0 && count%n == 0 }
