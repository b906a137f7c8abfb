// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"context"
	"strconv"
	"time"

	"granitehoist.example/granitehoist"
)

// storedLease is a lease with its expiry time.
type storedLease struct {
	ttl     time.Duration
	expires time.Time
}

// GrantLease implements granitehoist.Store. The id is a decimal number, as in the protocol
// of the platform's store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (granitehoist.LeaseID, error) {
	if err := s.beginCall(ctx); err != nil {
		return "", err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	s.version++
	id := granitehoist.LeaseID(strconv.FormatUint(s.version.Revision(), 10))
	s.leases[id] = storedLease{ttl: ttl, expires: s.now().Add(ttl)}
	return id, nil
}

// RenewLease implements granitehoist.Store.
func (s *Store) RenewLease(ctx context.Context, id granitehoist.LeaseID) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.calls.Writes++
	lease, ok := s.leases[id]
	if !ok {
		return granitehoist.ErrNoLease
	}
	lease.expires = s.now().Add(lease.ttl)
	s.leases[id] = lease
	return nil
}

// expire removes expired leases and deletes their keys. The caller must hold the lock.
func (s *Store) expire() {
	now := s.now()
	for id, lease := range s.leases {
		if now.Before(lease.expires) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.lease == id && !e.Deleted {
				s.version++
				s.put(key, storedEntry{Entry: granitehoist.Entry{Deleted: true}})
			}
		}
	}
}
