// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Announce records an instance's announcement. It returns the announcement that
// it replaces and whether there was one. An announcement older than the recorded
// one changes nothing; one that is as new takes back a removal.
func (t *Table) Announce(i Instance) (before Instance, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[i.ID]
	if !known {
		m = &member{idHash: xxhash.Sum64String(string(i.ID))}
		t.members[i.ID] = m
	}
	before = m.Instance
	if known && i.Version < before.Version {
		return before, true
	}
	if known && before.Service != i.Service {
		t.unlist(m)
	}
	m.Instance = i
	m.removedAt = time.Time{}
	if !known || before.Service != i.Service {
		t.services[i.Service] = append(t.services[i.Service], m)
	}
	return before, known
}

// Remove records that an instance's announcement was removed from the store. It
// returns the instance and whether the table had it. A second removal does not
// extend the time for which the instance may be used.
func (t *Table) Remove(id granitehoist.Upstream, now time.Time) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[id]
	if !known {
		return Instance{}, false
	}
	if m.removedAt.IsZero() {
		m.removedAt = now
	}
	t.sweep(now)
	return m.Instance, true
}

// sweep forgets the removed instances that are of no more use. It runs at each
// removal, so an instance stays in the table until a later one is removed.
func (t *Table) sweep(now time.Time) {
	for id, m := range t.members {
		if !forgettable(m.removedAt, m.inFlight, now) {
			continue
		}
		t.unlist(m)
		delete(t.members, id)
	}
}

// unlist takes a member off the list of its service, whose order stays.
func (t *Table) unlist(m *member) {
	listed := t.services[m.Service]
	for i, other := range listed {
		if other == m {
			t.services[m.Service] = append(listed[:i:i], listed[i+1:]...)
			return
		}
	}
}
