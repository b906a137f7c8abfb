// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Announce takes in an instance's announcement, and returns the instance that
// it stood for before and whether there was one. An older announcement changes
// nothing.
func (t *Table) Announce(i Instance) (before Instance, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[i.ID]
	if !known {
		m = &member{seed: xxhash.Sum64String(string(i.ID))}
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

// Remove says that an instance's announcement has gone. It returns the instance
// and whether it was known.
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

// sweep drops the instances that can't be used any more.
func (t *Table) sweep(now time.Time) {
	for id, m := range t.members {
		if m.removedAt.IsZero() || now.Sub(m.removedAt) < removedGrace || m.inFlight > 0 {
			continue
		}
		t.unlist(m)
		delete(t.members, id)
	}
}

func (t *Table) unlist(m *member) {
	listed := t.services[m.Service]
	for i, other := range listed {
		if other == m {
			t.services[m.Service] = append(listed[:i:i], listed[i+1:]...)
			return
		}
	}
}
