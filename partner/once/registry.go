// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/store"
)

// KeyPrefix is where records stand in the store.
const KeyPrefix = "once/"

// State is what is known of a bound request.
type State string

// The states of a record.
const (
	// Bound says that an attempt may be running or may have run.
	Bound State = "bound"
	// Done says that the upstream has answered.
	Done State = "done"
	// Free says that the attempt did not run, and that the request may be
	// bound again.
	Free State = "free"
)

// Record is what stands in the store of one request.
type Record struct {
	Attempt granitehoist.AttemptID `json:"attempt"`
	State   State                  `json:"state"`
	// Status is the upstream's HTTP status if State is Done.
	Status int       `json:"status,omitempty"`
	At     time.Time `json:"at"`
}

// Subject names a request not to be repeated.
type Subject struct {
	Partner   granitehoist.Partner
	Workspace granitehoist.Workspace
	Request   granitehoist.RequestID
}

func (s Subject) key() string {
	sum := sha256.Sum256([]byte(s.Request))
	return KeyPrefix + string(s.Partner) + "/" + string(s.Workspace) + "/" + hex.EncodeToString(sum[:])
}

// Settings configure a Registry.
type Settings struct {
	Store granitehoist.Store
}

// Registry binds requests.
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
// time.
type Binding struct {
	registry *Registry
	key      string
	record   Record
	version  granitehoist.Version
}

// Bind makes sure that no other attempt of the request runs. attempt must be
// unique. Its errors are *Error: AlreadyRun and OnceUnsure if another attempt
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

// mayBind returns nil if an entry does not exist or is free.
func mayBind(e granitehoist.Entry) error {
	if e.Version == 0 {
		return nil
	}
	var record Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return granitehoist.Wrap(granitehoist.OnceUnsure, err, "the record can't be read")
	}
	switch record.State {
	case Free:
		return nil
	case Done:
		return granitehoist.Errorf(granitehoist.AlreadyRun, "the upstream answered status %d at %s", record.Status, record.At.UTC().Format(time.RFC3339))
	}
	return granitehoist.Errorf(granitehoist.OnceUnsure, "an attempt was begun at %s", record.At.UTC().Format(time.RFC3339))
}

// conflict tells what another router has bound meanwhile.
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
// record stays Bound, and later callers are told that the request may have
// run.
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
