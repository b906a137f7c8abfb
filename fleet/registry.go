// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/store"
)

// Where routers enter themselves in the store: under a lease in KeyPrefix, for
// as long as they renew it, and in ServingPrefix for as long as they may serve.
// A router that is cut off loses its lease but may go on serving.
const (
	KeyPrefix     = "boxes/"
	ServingPrefix = "serving/"
)

// RegistrySettings configure a Registry.
type RegistrySettings struct {
	Self  Member
	Store granitehoist.Store
}

// DefaultTTL is how long an entry outlives its router, and so how long a dead router stays
// in the views of others: a shorter one costs more writes for renewals, a longer one
// leaves roles with a dead router for longer.
const DefaultTTL = 15 * time.Second

// renewalsPerTTL is how often an entry is renewed within its TTL, so that two renewals in
// a row may fail.
const renewalsPerTTL = 3

// Registry keeps a router's own entry in the store and its view of the others.
// While the store does not answer, the last view stays in use. It is safe for
// concurrent use.
type Registry struct {
	settings RegistrySettings
	// refreshing holds a value while a Refresh runs: two at the same time would
	// each grant a lease, and the entry could be under the one that is not
	// renewed.
	refreshing chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// self is what the entry should say, written what was last written under
	// lease.
	self    Member
	written Member
	lease   granitehoist.LeaseID
	// view holds the others and this router as last read.
	view View
}

// NewRegistry returns a registry whose view holds the router alone. It panics
// if the settings lack the store or the incarnation.
func NewRegistry(s RegistrySettings) *Registry {
	if s.Store == nil || s.Self.Incarnation == "" {
		panic("fleet: registry without store or incarnation")
	}
	return &Registry{
		settings:   s,
		refreshing: make(chan struct{}, 1),
		self:       s.Self,
		view:       NewView([]Member{s.Self}),
	}
}

// View returns the last view.
func (r *Registry) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Interval returns how often Refresh should be called.
func (r *Registry) Interval() time.Duration { return DefaultTTL / renewalsPerTTL }

// Refresh renews the router's entry and reads the others'. A router is in the
// view from its first entry until its lease ends or it removes the entry. The
// error is that of the store, or names an entry that can't be read; the view
// then stays as it was. If another Refresh runs, this one waits for it, and
// returns the context's error if that ends first.
func (r *Registry) Refresh(ctx context.Context) error {
	select {
	case r.refreshing <- struct{}{}:
		defer func() { <-r.refreshing }()
	case <-ctx.Done():
		return ctx.Err()
	}
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

// renewEntry renews the lease, and writes the entry if its lease is new or it has
// changed.
func (r *Registry) renewEntry(ctx context.Context) error {
	r.mu.Lock()
	lease, self, changed := r.lease, r.self, r.self != r.written
	r.mu.Unlock()
	verdict, err := r.renewLease(ctx, lease, changed)
	switch verdict {
	case renewalFailed:
		return err
	case entryUnchanged:
		return nil
	case needsLease:
		lease, err = r.settings.Store.GrantLease(ctx, DefaultTTL)
		if err != nil {
			return err
		}
	}
	if err := r.writeEntry(ctx, lease, self); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.written = lease, self
	return nil
}

// renewLease renews a lease if there is one. It returns what has to be done about
// the entry, and the store's error.
func (r *Registry) renewLease(ctx context.Context, lease granitehoist.LeaseID, changed bool) (renewal, error) {
	if lease == "" {
		return needsLease, nil
	}
	err := r.settings.Store.RenewLease(ctx, lease)
	return decideRenewal(err, changed), err
}

func (r *Registry) key() string { return KeyPrefix + memberKey(r.settings.Self) }

// memberKey is the part of a member's keys after their prefix.
func memberKey(m Member) string {
	return string(m.Region) + "/" + string(m.Box) + "/" + string(m.Incarnation)
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

// Leave marks the router as stopping. The next Refresh writes that to the store.
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
