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

// Prefixes of the routers' entries in the store. Entries under LivePrefix have a lease and
// expire unless the lease is renewed. Entries under ServingPrefix have no lease: a router
// without a connection to the store may still serve, and its entry stays until the router
// has stopped.
const (
	LivePrefix    = "boxes/"
	ServingPrefix = "serving/"
)

// RegistrySettings configures a Registry. Store and Self.Incarnation are required.
type RegistrySettings struct {
	Self  Member
	Store granitehoist.Store
}

// DefaultTTL is the TTL of a router's lease. A dead router stays in the views of other
// routers for this time. A shorter TTL costs more renewals. A longer one leaves roles with a
// dead router for longer.
const DefaultTTL = 15 * time.Second

// renewalsPerTTL is the number of renewals within a TTL. The lease survives two consecutive
// failures.
const renewalsPerTTL = 3

// Registry maintains a router's entry in the store and its view of the fleet. The last view
// stays in use while the store is unavailable. It is safe for concurrent use.
type Registry struct {
	settings RegistrySettings
	// refreshSlot holds a value while a Refresh runs, so that only one runs at a time.
	// Concurrent calls would each obtain a lease, and the entry could be written under a
	// lease that is not renewed.
	refreshSlot chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// self is the desired entry of this router. written is the entry last written to the
	// store, and lease is its lease.
	self    Member
	written Member
	lease   granitehoist.LeaseID
	// view holds the members as last read, including this router.
	view View
}

// NewRegistry returns a registry whose view holds this router only. It panics if the store
// or the incarnation is missing in the settings.
func NewRegistry(s RegistrySettings) *Registry {
	if s.Store == nil || s.Self.Incarnation == "" {
		panic("fleet: RegistrySettings.Store or Self.Incarnation is missing")
	}
	return &Registry{
		settings:    s,
		refreshSlot: make(chan struct{}, 1),
		self:        s.Self,
		view:        NewView([]Member{s.Self}),
	}
}

// View returns the view of the last successful Refresh.
func (r *Registry) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Interval returns the interval at which the caller should call Refresh.
func (r *Registry) Interval() time.Duration { return DefaultTTL / renewalsPerTTL }

// Refresh renews the router's entry and updates the view. Other routers have this one in
// their views from its first Refresh until its lease expires or its entry is removed. Refresh
// waits while another call of Refresh runs, and returns the context's error if ctx ends
// first. Other errors are those of the store, or name an entry that cannot be decoded. After
// an error the view is unchanged.
func (r *Registry) Refresh(ctx context.Context) error {
	select {
	case r.refreshSlot <- struct{}{}:
		defer func() { <-r.refreshSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := r.renewEntry(ctx); err != nil {
		return err
	}
	members, err := readMembers(ctx, r.settings.Store, LivePrefix)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = NewView(members)
	return nil
}

// renewEntry renews the lease, and writes the entry if the lease is new or the entry has
// changed.
func (r *Registry) renewEntry(ctx context.Context) error {
	r.mu.Lock()
	lease, self, changed := r.lease, r.self, r.self != r.written
	r.mu.Unlock()
	result, err := r.renewLease(ctx, lease, changed)
	switch result {
	case renewalFailed:
		return err
	case entryCurrent:
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

// renewLease renews a lease if there is one. changed says that the entry differs from the one
// last written. renewLease returns the action that the entry needs, and the store's error.
func (r *Registry) renewLease(ctx context.Context, lease granitehoist.LeaseID, changed bool) (renewalResult, error) {
	if lease == "" {
		return needsLease, nil
	}
	err := r.settings.Store.RenewLease(ctx, lease)
	return classifyRenewal(err, changed), err
}

func (r *Registry) key() string { return LivePrefix + memberKey(r.settings.Self) }

// memberKey returns a member's key without the prefix.
func memberKey(m Member) string {
	return string(m.Region) + "/" + string(m.Box) + "/" + string(m.Incarnation)
}

// writeEntry writes the entry under a lease. No other incarnation writes this key.
func (r *Registry) writeEntry(ctx context.Context, lease granitehoist.LeaseID, self Member) error {
	raw, err := json.Marshal(self)
	if err != nil {
		return eris.Wrap(err, "fleet: encode entry")
	}
	current, err := r.settings.Store.Get(ctx, r.key())
	if err != nil {
		return err
	}
	_, err = store.Swap(ctx, r.settings.Store, granitehoist.Change{Key: r.key(), Value: raw, Expect: current.Version, Lease: lease})
	return err
}

// Leave marks the router as stopping, so that it takes no roles. The next Refresh writes
// the mark to the store.
func (r *Registry) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Leaving = true
}

// Remove deletes the router's entries. It is called after the router has stopped serving.
func (r *Registry) Remove(ctx context.Context) error {
	if err := deleteKey(ctx, r.settings.Store, r.key()); err != nil {
		return err
	}
	return DeregisterServing(ctx, r.settings.Store, r.settings.Self)
}
