// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/store"
)

// Where routers enter themselves in the store: under a lease in KeyPrefix, for
// as long as they renew it, and in ServingPrefix for as long as they may serve.
// A router that is cut off loses its lease and may serve all the same.
const (
	KeyPrefix     = "boxes/"
	ServingPrefix = "serving/"
)

// RegistrySettings configure a Registry.
type RegistrySettings struct {
	Self  Member
	Store granitehoist.Store
	// TTL is how long an entry outlives its router; zero stands for
	// DefaultTTL. It is renewed three times as often.
	TTL time.Duration
}

// DefaultTTL bounds how long a dead router stays in the views of others.
const DefaultTTL = 15 * time.Second

const renewalsPerTTL = 3

// Registry keeps a router's own entry in the store and its view of the others.
// While the store is away the last view stands.
type Registry struct {
	settings RegistrySettings

	mu      sync.Mutex
	self    Member
	view    View
	lease   granitehoist.LeaseID
	written Member
}

// NewRegistry returns a registry whose view holds the router alone. It panics
// if the settings lack the store or the incarnation.
func NewRegistry(s RegistrySettings) *Registry {
	if s.Store == nil || s.Self.Incarnation == "" {
		panic("fleet: registry without store or incarnation")
	}
	defaults.Set(&s.TTL, DefaultTTL)
	return &Registry{settings: s, self: s.Self, view: NewView([]Member{s.Self})}
}

// View returns the last view.
func (r *Registry) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Interval returns how often Refresh is to be called.
func (r *Registry) Interval() time.Duration { return r.settings.TTL / renewalsPerTTL }

// Refresh renews the router's entry and reads the others'.
func (r *Registry) Refresh(ctx context.Context) error {
	if err := r.renewEntry(ctx); err != nil {
		return err
	}
	members, err := readMembers(ctx, r.settings.Store, KeyPrefix)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = NewView(members)
	return nil
}

// renewEntry renews the lease, and writes the entry if it is new or has changed.
func (r *Registry) renewEntry(ctx context.Context) error {
	r.mu.Lock()
	lease, self, written := r.lease, r.self, r.written
	r.mu.Unlock()
	if lease != "" {
		err := r.settings.Store.RenewLease(ctx, lease)
		switch {
		case errors.Is(err, granitehoist.ErrNoLease):
			lease = ""
		case err != nil:
			return err
		case self == written:
			return nil
		}
	}
	if lease == "" {
		granted, err := r.settings.Store.GrantLease(ctx, r.settings.TTL)
		if err != nil {
			return err
		}
		lease = granted
	}
	if err := r.writeEntry(ctx, lease, self); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.written = lease, self
	return nil
}

func (r *Registry) key() string { return KeyPrefix + memberKey(r.settings.Self) }

func memberKey(m Member) string {
	return string(m.Region) + "/" + string(m.Box) + "/" + string(m.Incarnation)
}

// Enroll enters the router among those that may serve. It must succeed before
// the router serves its first request, and before it reads the documents by
// which it does.
func (r *Registry) Enroll(ctx context.Context) error {
	raw, err := json.Marshal(r.settings.Self)
	if err != nil {
		return eris.Wrap(err, "fleet: entry does not encode")
	}
	key := ServingPrefix + memberKey(r.settings.Self)
	current, err := r.settings.Store.Get(ctx, key)
	if err != nil || current.Version != 0 {
		return err
	}
	_, err = store.Create(ctx, r.settings.Store, key, raw)
	return err
}

// Serving returns the routers that may serve, live or not.
func Serving(ctx context.Context, s granitehoist.Store) ([]Member, error) {
	return readMembers(ctx, s, ServingPrefix)
}

// Withdraw removes a router from those that may serve. It is called by the
// router itself when it has stopped, or when it is known to be gone.
func Withdraw(ctx context.Context, s granitehoist.Store, m Member) error {
	return deleteKey(ctx, s, ServingPrefix+memberKey(m))
}

func readMembers(ctx context.Context, s granitehoist.Store, prefix string) ([]Member, error) {
	entries, _, err := s.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, e := range entries {
		var m Member
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return nil, eris.Wrapf(err, "fleet: entry %s can't be read", e.Key)
		}
		members = append(members, m)
	}
	return members, nil
}

// writeEntry sets the entry. Only this incarnation writes its key.
func (r *Registry) writeEntry(ctx context.Context, lease granitehoist.LeaseID, self Member) error {
	raw, err := json.Marshal(self)
	if err != nil {
		return eris.Wrap(err, "fleet: entry does not encode")
	}
	current, err := r.settings.Store.Get(ctx, r.key())
	if err != nil {
		return err
	}
	_, err = store.Swap(ctx, r.settings.Store, granitehoist.Change{Key: r.key(), Value: raw, Expect: current.Version, Lease: lease})
	return err
}

// Leave marks the router as stopping, for the next Refresh.
func (r *Registry) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Leaving = true
}

// Remove deletes the router's entries, when it has stopped.
func (r *Registry) Remove(ctx context.Context) error {
	if err := deleteKey(ctx, r.settings.Store, r.key()); err != nil {
		return err
	}
	return Withdraw(ctx, r.settings.Store, r.settings.Self)
}

// maxDeleteTries bounds how often remove reads an entry again after the answer to
// its write was lost.
const maxDeleteTries = 3

func deleteKey(ctx context.Context, s granitehoist.Store, key string) error {
	var err error
	for range maxDeleteTries {
		var current granitehoist.Entry
		current, err = s.Get(ctx, key)
		if err != nil || current.Version == 0 {
			return err
		}
		_, err = s.CompareAndSwap(ctx, granitehoist.Change{Key: key, Expect: current.Version, Delete: true})
		if err == nil {
			return nil
		}
	}
	return err
}
