// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import "sync/atomic"

// Memory is the memory that reads share. The zero value and nil have no limit. It is safe
// for concurrent use.
type Memory struct{ limit, used atomic.Int64 }

// NewMemory returns a Memory of a size in bytes; zero means no limit.
func NewMemory(limit int64) *Memory {
	m := &Memory{}
	m.SetLimit(limit)
	return m
}

// SetLimit changes the size in bytes; zero means no limit. Reservations that exceed the new
// size remain.
func (m *Memory) SetLimit(limit int64) { m.limit.Store(limit) }

// Used returns the reserved bytes.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// mayGrow reports whether a reservation may grow to size bytes if all reservations together
// then have used bytes. It must not exceed what remains free, so that a few large
// reservations leave room for many small ones (the dynamic threshold of Choudhury and Hahne,
// "Dynamic queue length thresholds for shared-memory packet switches", 1998).
func mayGrow(size, used, limit int64) bool {
	return limit <= 0 || size <= limit-used
}

// resize changes a reservation from one size to another and reports whether it may.
func (m *Memory) resize(from, to int64) bool {
	if m == nil {
		return true
	}
	for {
		before := m.used.Load()
		after := before - from + to
		if to > from && !mayGrow(to, after, m.limit.Load()) {
			return false
		}
		if m.used.CompareAndSwap(before, after) {
			return true
		}
	}
}

// Reservation is a part of a Memory. The zero value has no limit. It is not safe for
// concurrent use. Release must be called at the end.
type Reservation struct {
	Memory *Memory
	size   int64
}

// Resize changes the reservation to size bytes and reports whether it may. A reservation may
// always shrink; one that may not grow keeps its size.
func (r *Reservation) Resize(size int64) bool {
	if !r.Memory.resize(r.size, size) {
		return false
	}
	r.size = size
	return true
}

// Release returns all bytes.
func (r *Reservation) Release() { r.Resize(0) }
