// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Announce records an instance's announcement, which arrived now. It returns the
// announcement that it replaces and whether there was one. An announcement that is
// older than the recorded one, or of an earlier life, changes nothing. Any other
// cancels an earlier removal. One of a new life begins with nothing observed, and
// attempts that began in the life before say nothing of it.
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
	if found && (before.Service != i.Service || isNewLife(i, before)) {
		t.unlist(s)
	}
	if !found || isNewLife(i, before) {
		s = &instanceState{idHash: xxhash.Sum64String(string(i.ID))}
		t.instances[i.ID] = s
	}
	isNew := s.ID == ""
	s.Instance = i
	if isNew {
		t.takeEarlyLimit(s)
		s.leaving = t.leavers.has(s.life())
	}
	s.removedAt = time.Time{}
	s.coldUntil = coldUntil(i.ColdFor, now)
	if !found || before.Service != i.Service || isNewLife(i, before) {
		service := t.service(i.Service)
		service.instances = append(service.instances, s)
		service.slowAt = time.Time{}
	}
	return before, found
}

// isOutdated decides whether an announcement is older than another of the same ID, by
// the store's version of the two or by the life that they are of.
func isOutdated(i, than Instance) bool {
	return i.Version < than.Version || (i.Born != 0 && i.Born < than.Born)
}

// isNewLife decides whether an announcement is of a later life than the one before. One
// that does not say when its life began goes on with the life before, and so does the
// first that says so: what was observed is as likely of it.
func isNewLife(i, before Instance) bool {
	return before.Born != 0 && i.Born > before.Born
}

// Remove records that an instance's announcement was removed from the store. It
// returns the instance and whether the table had it. A second removal does not
// extend the time for which the instance may be used.
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

// IsLeaving reports whether an instance drains, said that it leaves, or has no announcement any more.
func (t *Table) IsLeaving(id granitehoist.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[id]
	return !found || s.isLeaving() || !s.removedAt.IsZero()
}

// sweep deletes the removed instances that are no longer needed. It runs at each
// removal, so a removed instance stays in the table at least until the next one.
func (t *Table) sweep(now time.Time) {
	for id, s := range t.instances {
		if !forgettable(s.removedAt, s.inFlight, now) {
			continue
		}
		if s.leaving {
			// An old copy of its announcement may still arrive.
			t.leavers.add(s.life(), now)
		}
		t.unlist(s)
		delete(t.instances, id)
	}
}

// service returns the state of a service, a new one if there is none. The caller
// holds mu.
func (t *Table) service(name granitehoist.Service) *serviceState {
	s, found := t.services[name]
	if !found {
		s = &serviceState{}
		t.services[name] = s
	}
	return s
}

// unlist takes an instance off the list of its service, whose order stays.
func (t *Table) unlist(s *instanceState) {
	service := t.service(s.Service)
	service.slowAt = time.Time{}
	for i, other := range service.instances {
		if other == s {
			service.instances = append(service.instances[:i:i], service.instances[i+1:]...)
			return
		}
	}
}
