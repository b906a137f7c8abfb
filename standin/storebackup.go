// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"maps"

	"granitehoist.example/granitehoist"
)

// StoreBackup is a copy of the keys, the leases and the counter of a Store.
type StoreBackup struct {
	version granitehoist.Version
	entries map[string]storedEntry
	leases  map[granitehoist.LeaseID]storedLease
}

// Backup returns a copy of the present state.
func (s *Store) Backup() *StoreBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &StoreBackup{version: s.version, entries: maps.Clone(s.entries), leases: maps.Clone(s.leases)}
}

// Restore returns to the state of a backup and begins the next era. All writes since the
// backup are lost, and their revisions are assigned again.
func (s *Store) Restore(b *StoreBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.version.Era() + 1
	s.version = granitehoist.NewVersion(era, b.version.Revision())
	s.leases = maps.Clone(b.leases)
	s.entries = make(map[string]storedEntry, len(b.entries))
	for key, e := range b.entries {
		e.Version = granitehoist.NewVersion(era, e.Version.Revision())
		s.entries[key] = e
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the current era.
func (s *Store) Era() granitehoist.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Era()
}
