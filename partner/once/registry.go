// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package once

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/store"
)

// Settings configure a Registry.
type Settings struct {
	// Store holds the records; required.
	Store granitehoist.Store
}

// Registry binds requests to attempts. It is stateless and safe for concurrent use.
type Registry struct {
	store granitehoist.Store
}

// New returns a registry. It panics if s.Store is nil.
func New(s Settings) *Registry {
	if s.Store == nil {
		panic("once: Settings.Store is nil")
	}
	return &Registry{store: s.Store}
}

// Binding is the right of this router to send a request, one attempt at a time.
// It is not safe for concurrent use.
type Binding struct {
	registry *Registry
	key      string
	record   Record
	version  granitehoist.Version
}

// Bind reserves the request for this router and attempt, whose id must be unique in
// the fleet. The error is a *granitehoist.Error with code AlreadyRun or OnceUnsure if
// the request is already bound, or OnceUnavailable if the store doesn't respond.
// After an error the request must not be sent.
func (r *Registry) Bind(ctx context.Context, k RequestKey, attempt granitehoist.AttemptID, now time.Time) (*Binding, error) {
	key := k.key()
	current, err := r.store.Get(ctx, key)
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.OnceUnavailable, err, "")
	}
	if err := checkBindable(current); err != nil {
		return nil, err
	}
	b := &Binding{registry: r, key: key, record: Record{Attempt: attempt, State: Bound, At: now}, version: current.Version}
	err = b.write(ctx)
	if err == nil {
		return b, nil
	}
	if errors.Is(err, granitehoist.ErrConflict) {
		return nil, r.conflict(ctx, key)
	}
	return nil, granitehoist.Wrap(granitehoist.OnceUnavailable, err, "")
}

// conflict returns the error for a request whose record another router changed
// after Bind had read the record and before Bind wrote it.
func (r *Registry) conflict(ctx context.Context, key string) error {
	current, err := r.store.Get(ctx, key)
	if err != nil {
		return granitehoist.Wrap(granitehoist.OnceUnsure, err, "a concurrent attempt was bound")
	}
	if err := checkBindable(current); err != nil {
		return err
	}
	return granitehoist.Errorf(granitehoist.OnceUnavailable, "a concurrent attempt was released")
}

// write replaces the record unless another router changed it since this router
// last read or wrote it. It returns the store's error, ErrConflict after a change.
func (b *Binding) write(ctx context.Context) error {
	raw, err := json.Marshal(b.record)
	if err != nil {
		return granitehoist.Wrap(granitehoist.Internal, err, "")
	}
	version, err := store.Swap(ctx, b.registry.store, granitehoist.Change{Key: b.key, Value: raw, Expect: b.version})
	if err != nil {
		return err
	}
	b.version = version
	return nil
}

// Finish records that the upstream responded with status. On error the record
// stays Bound, and later requests with the same id fail with OnceUnsure.
func (b *Binding) Finish(ctx context.Context, status int, now time.Time) error {
	b.record = Record{Attempt: b.record.Attempt, State: Done, Status: status, At: now}
	return b.write(ctx)
}

// Release records that no attempt ran, so that the request may be bound again. It
// must not be called if an attempt may have run. On error the record stays Bound.
func (b *Binding) Release(ctx context.Context, now time.Time) error {
	b.record = Record{Attempt: b.record.Attempt, State: Released, At: now}
	return b.write(ctx)
}
