// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Slot is an upstream chosen for one attempt. It is to be ended by one Done.
type Slot struct {
	Upstream granitehoist.Upstream
	table    *Table
	pool     *servicePool
	member   *member
}

// Result is how an attempt ended, for the choice of later ones.
type Result int

// The results.
const (
	// Good stands for an upstream that did its part.
	Good Result = iota
	// Bad stands for an upstream that refused or failed.
	Bad
	// Unclear counts neither way: for example, the caller left.
	Unclear
)

// Done ends an attempt and gives its room to a waiting request.
func (s *Slot) Done(r Result, now time.Time) {
	t, m := s.table, s.member
	t.mu.Lock()
	defer t.mu.Unlock()
	m.inFlight--
	pool := s.pool.current()
	if pool == s.pool || pool.has(m) {
		// A pool without the member never counted this request.
		pool.inFlight--
	}
	switch r {
	case Good:
		m.failures = 0
	case Bad:
		m.failures++
		m.ejectedUntil = now.Add(ejection(m.failures))
	case Unclear:
	}
	t.serveQueue(pool, now)
}
