// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import "granitehoist.example/granitehoist"

// InFlight returns the number of requests in flight at an upstream.
func (t *Table) InFlight(u granitehoist.Upstream) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[u]; ok {
		return m.inFlight
	}
	return 0
}

// Waiting returns the number of queued requests of a service.
func (t *Table) Waiting(s granitehoist.Service) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.pools[s]; ok {
		return len(p.waiters)
	}
	return 0
}
