// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Announce records an announcement that arrived at now. It returns the previous
// announcement of the ID and whether there was one. An announcement with an older version
// or of an earlier incarnation is ignored. Any other announcement cancels an earlier
// removal. A new incarnation starts without observations. Attempts at the previous
// incarnation do not affect it.
func (t *Table) Announce(i Instance, now time.Time) (before Instance, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[i.ID]
	if found {
		before = s.Instance
	}
	if found && isOutdated(i, before) {
		return before, true
	}
	if found && (before.Service != i.Service || isNewIncarnation(i, before)) {
		t.removeFromService(s)
	}
	if !found || isNewIncarnation(i, before) {
		s = &instanceState{idHash: xxhash.Sum64String(string(i.ID))}
		t.instances[i.ID] = s
	}
	isNew := s.ID == ""
	s.Instance = i
	if isNew {
		t.applyPendingLimit(s)
		s.leaving = t.leavingIncarnations.contains(s.incarnation())
	}
	s.removedAt = time.Time{}
	s.coldUntil = coldUntil(i.ColdFor, now)
	if !found || before.Service != i.Service || isNewIncarnation(i, before) {
		service := t.service(i.Service)
		service.instances = append(service.instances, s)
		service.slowUpdatedAt = time.Time{}
	}
	return before, found
}

// isOutdated reports whether an announcement is older than another one of the same ID, by
// store version or by incarnation. Versions of different eras of the store don't tell; the
// caller has compared the announcements.
func isOutdated(i, than Instance) bool {
	if i.Version.Era() == than.Version.Era() && i.Version < than.Version {
		return true
	}
	return i.StartedAtMS != 0 && i.StartedAtMS < than.StartedAtMS
}

// isNewIncarnation reports whether an announcement belongs to a later incarnation than
// the previous one. It returns false if either start time is unknown.
func isNewIncarnation(i, before Instance) bool {
	return before.StartedAtMS != 0 && i.StartedAtMS > before.StartedAtMS
}

// Remove records that an instance's announcement was removed from the store. It returns
// the instance and whether the table had it. The time of the first removal counts if
// Remove is called again.
func (t *Table) Remove(id granitehoist.Upstream, now time.Time) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[id]
	if !found {
		return Instance{}, false
	}
	if s.removedAt.IsZero() {
		s.removedAt = now
	}
	t.sweep(now)
	return s.Instance, true
}

// IsLeaving reports whether an instance is draining or leaving, or is no longer
// announced.
func (t *Table) IsLeaving(id granitehoist.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[id]
	return !found || s.isLeaving() || !s.removedAt.IsZero()
}

// sweep deletes removed instances that are no longer needed. It runs at each removal, so
// that a removed instance stays in the table at least until the next one.
func (t *Table) sweep(now time.Time) {
	for id, s := range t.instances {
		if !canForget(s.removedAt, s.inFlight, now) {
			continue
		}
		if s.leaving {
			// A stale announcement may still arrive.
			t.leavingIncarnations.add(s.incarnation(), now)
		}
		t.removeFromService(s)
		delete(t.instances, id)
	}
}

// service returns the state of a service, creating it if needed. The caller holds mu.
func (t *Table) service(name granitehoist.Service) *serviceState {
	s, found := t.services[name]
	if !found {
		s = &serviceState{}
		t.services[name] = s
	}
	return s
}

// removeFromService removes an instance from the list of its service, preserving the
// order.
func (t *Table) removeFromService(s *instanceState) {
	service := t.service(s.Service)
	service.slowUpdatedAt = time.Time{}
	for i, other := range service.instances {
		if other == s {
			service.instances = append(service.instances[:i:i], service.instances[i+1:]...)
			return
		}
	}
}

// Lookup returns an announced instance, or one whose announcement was removed a short while
// ago, and whether the table has it.
func (t *Table) Lookup(id granitehoist.Upstream) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[id]
	if !found {
		return Instance{}, false
	}
	return s.Instance, true
}

// Sample returns up to count different instances that are announced and not leaving, in no
// particular order.
func (t *Table) Sample(count int) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sample []Instance
	// The iteration begins at a random instance.
	for _, s := range t.instances {
		if len(sample) >= count {
			break
		}
		if !s.isLeaving() && s.removedAt.IsZero() {
			sample = append(sample, s.Instance)
		}
	}
	return sample
}
