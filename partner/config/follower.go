// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/internal/defaults"
)

// FollowerSettings configure a Follower.
type FollowerSettings struct {
	Store granitehoist.Store
	Trust Trust
	// Failed is called with each error of a document or of the store; nil ignores
	// them.
	Failed func(error)
	// Changed is called with each new view; nil ignores it.
	Changed func(*View)
	// Pause is the time before a failed call of the store is made again; zero
	// stands for half a second.
	Pause time.Duration
}

// defaultPause keeps a router whose store fails to two calls a second. Chosen,
// not measured.
const defaultPause = 500 * time.Millisecond

// Follower keeps a router's view of the documents in the store. A document that
// can't be decoded, or that its partner did not sign, leaves the one before in
// force. A follow.Follower without relays or neighbours follows the keys.
type Follower struct {
	settings FollowerSettings
	keys     *follow.Follower
	view     atomic.Pointer[View]
}

// NewFollower returns a follower with an empty view. It panics if the settings
// lack the store or the trusted keys.
func NewFollower(s FollowerSettings) *Follower {
	if s.Store == nil || s.Trust == nil {
		panic("config: follower lacks a setting")
	}
	if s.Failed == nil {
		s.Failed = func(error) {}
	}
	if s.Changed == nil {
		s.Changed = func(*View) {}
	}
	defaults.Set(&s.Pause, defaultPause)
	f := &Follower{settings: s}
	f.view.Store(NewView())
	f.keys = follow.New(follow.Settings{
		Store:    s.Store,
		Prefix:   keyPrefix,
		Changed:  func(changed []granitehoist.Entry, _ granitehoist.Version) { f.take(changed) },
		Failed:   s.Failed,
		Pause:    s.Pause,
		MaxPause: s.Pause,
	})
	return f
}

// View returns the documents in force.
func (f *Follower) View() *View { return f.view.Load() }

// Run lists the documents and then watches for changes until ctx ends. Only one
// Run may be in progress. Failed and Changed are called on its goroutine.
func (f *Follower) Run(ctx context.Context) { f.keys.Run(ctx) }

// take puts documents in force that are newer than those of the view.
func (f *Follower) take(entries []granitehoist.Entry) {
	view := f.View()
	next := view
	for _, e := range entries {
		if e.Deleted {
			continue
		}
		signed, document, err := f.settings.Trust.verify(e.Value)
		if err == nil && storeKey(signed.Partner) != e.Key {
			err = granitehoist.Errorf(granitehoist.NotAuthorised, "key %s holds a document of partner %q", e.Key, signed.Partner)
		}
		if err != nil {
			f.settings.Failed(err)
			continue
		}
		next = next.With(document, signed.Serial)
	}
	if next != view {
		f.view.Store(next)
		f.settings.Changed(next)
	}
}

// Current is the document of a partner as it stands in the store.
type Current struct {
	Signed  Signed               `json:"signed"`
	Version granitehoist.Version `json:"version"`
}

// ReadCurrent returns a partner's document from the store; its version is zero
// if there is none.
func ReadCurrent(ctx context.Context, s granitehoist.Store, p granitehoist.Partner) (Current, error) {
	e, err := s.Get(ctx, storeKey(p))
	if err != nil {
		return Current{}, granitehoist.Wrap(granitehoist.StoreDown, err, "")
	}
	c := Current{Version: e.Version}
	if e.Version == 0 {
		return c, nil
	}
	if err := json.Unmarshal(e.Value, &c.Signed); err != nil {
		return Current{}, granitehoist.Wrap(granitehoist.DocumentBad, err, "the stored record can't be read")
	}
	return c, nil
}

// readBackTries bounds the reads after a write whose answer was lost, until one
// succeeds. Chosen, not measured.
const readBackTries = 5

// Apply writes a signed document over the one that it names as previous. Its
// errors are *Error: NotAuthorised, DocumentBad, DocumentConflict if another
// document came between, StoreDown if nothing was written, and
// DocumentUnsettled if it is not known whether it was.
func Apply(ctx context.Context, s granitehoist.Store, t Trust, raw []byte) (Signed, error) {
	signed, _, err := t.verify(raw)
	if err != nil {
		return signed, err
	}
	current, err := ReadCurrent(ctx, s, signed.Partner)
	if err != nil {
		return signed, err
	}
	if current.Signed.ChangeID == signed.ChangeID {
		return signed, nil
	}
	if signed.Previous != current.Signed.ChangeID || signed.Serial != current.Signed.Serial+1 {
		return signed, conflict(current.Signed, signed)
	}
	_, err = s.CompareAndSwap(ctx, granitehoist.Change{Key: storeKey(signed.Partner), Value: raw, Expect: current.Version})
	switch {
	case err == nil:
		return signed, nil
	case errors.Is(err, granitehoist.ErrUnavailable):
		return signed, granitehoist.Wrap(granitehoist.StoreDown, err, "")
	}
	return signed, settle(ctx, s, signed)
}

func conflict(current, ours Signed) error {
	return granitehoist.Errorf(granitehoist.DocumentConflict, "serial %d stands in the store; this document is serial %d and follows another", current.Serial, ours.Serial)
}

// settle finds out whether a write that got no answer, or a conflict, took
// effect. If the store still has the document before ours, that is not known: the
// write may take effect seconds later (granitehoist.ErrUnknown), and another read
// right away would not settle it.
func settle(ctx context.Context, s granitehoist.Store, ours Signed) error {
	current, err := readBack(ctx, s, ours.Partner)
	switch {
	case err != nil:
		return unsettled(ours, err)
	case current.Signed.ChangeID == ours.ChangeID, current.Signed.Previous == ours.ChangeID:
		return nil
	case current.Signed.Serial >= ours.Serial:
		return conflict(current.Signed, ours)
	}
	return unsettled(ours, nil)
}

// readBack returns the result of the first read that succeeds, or the error of the
// last of readBackTries.
func readBack(ctx context.Context, s granitehoist.Store, p granitehoist.Partner) (Current, error) {
	var current Current
	var err error
	for range readBackTries {
		if current, err = ReadCurrent(ctx, s, p); err == nil {
			return current, nil
		}
	}
	return Current{}, err
}

// unsettled returns a DocumentUnsettled. cause is why the document could not be
// read back, or nil.
func unsettled(ours Signed, cause error) error {
	return granitehoist.Wrap(granitehoist.DocumentUnsettled, cause, fmt.Sprintf("serial %d of partner %s", ours.Serial, ours.Partner))
}
