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
	// Store is required.
	Store granitehoist.Store
}

// Registry binds requests. It keeps nothing: what is bound stands in the store.
// It is safe for concurrent use.
type Registry struct {
	store granitehoist.Store
}

// New returns a registry. It panics if the settings have no store.
func New(s Settings) *Registry {
	if s.Store == nil {
		panic("once: no store")
	}
	return &Registry{store: s.Store}
}

// Binding is a request that may be sent by this router, in one attempt at a
// time. It is used by one goroutine.
type Binding struct {
	registry *Registry
	key      string
	record   Record
	version  granitehoist.Version
}

// Bind makes sure that no other attempt of the request runs. attempt must be
// unique in the fleet. Its errors are *Error: AlreadyRun and OnceUnsure if another attempt
// is in the record, OnceUnavailable if the store does not answer. After an
// error the request is not to be sent.
func (r *Registry) Bind(ctx context.Context, s Subject, attempt granitehoist.AttemptID, now time.Time) (*Binding, error) {
	key := s.key()
	current, err := r.store.Get(ctx, key)
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.OnceUnavailable, err, "")
	}
	if err := mayBind(current); err != nil {
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

// conflict returns the error of a request that another router has bound at the
// same time.
func (r *Registry) conflict(ctx context.Context, key string) error {
	current, err := r.store.Get(ctx, key)
	if err != nil {
		return granitehoist.Wrap(granitehoist.OnceUnsure, err, "another attempt was begun")
	}
	if err := mayBind(current); err != nil {
		return err
	}
	return granitehoist.Errorf(granitehoist.OnceUnavailable, "another attempt was given up at the same time")
}

// write replaces the record if it has not changed since this router read or wrote
// it. Its errors are the store's: ErrConflict if it has changed.
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

// Finish records that the upstream answered with a status. If it fails the
// record stays Bound, and later requests with the same id are answered that the
// request may have run.
func (b *Binding) Finish(ctx context.Context, status int, now time.Time) error {
	b.record = Record{Attempt: b.record.Attempt, State: Done, Status: status, At: now}
	return b.write(ctx)
}

// Release records that no attempt ran. It must be called only then. If it
// fails the record stays Bound.
func (b *Binding) Release(ctx context.Context, now time.Time) error {
	b.record = Record{Attempt: b.record.Attempt, State: Free, At: now}
	return b.write(ctx)
}
