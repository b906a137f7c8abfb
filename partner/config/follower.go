// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"context"
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
	// errors.
	Failed func(error)
	// Changed is called with each new view; nil means no call.
	Changed func(*View)
	// Pause is the time before a failed store call is retried; zero means 500 ms.
	Pause time.Duration
}

// defaultPause limits a router to two store calls per second during an outage.
const defaultPause = 500 * time.Millisecond

// Follower watches the documents in the store and keeps a view of the documents in force.
// A document that can't be decoded, or that its partner did not sign, leaves the partner's
// previous document in force. View may be called concurrently with Run.
type Follower struct {
	settings FollowerSettings
	watcher  *follow.Follower
	view     atomic.Pointer[View]
}

// NewFollower returns a follower with an empty view. It panics if Store or Trust is nil.
func NewFollower(s FollowerSettings) *Follower {
	if s.Store == nil || s.Trust == nil {
		panic("config: FollowerSettings.Store or Trust is nil")
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
	f.watcher = follow.New(follow.Settings{
		Store:         s.Store,
		Prefix:        keyPrefix,
		OnChange:      func(changed []granitehoist.Entry, _ granitehoist.Version) { f.apply(changed) },
		OnError:       s.Failed,
		RetryDelay:    s.Pause,
		MaxRetryDelay: s.Pause,
	})
	return f
}

// View returns the documents in force.
func (f *Follower) View() *View { return f.view.Load() }

// Run lists the documents and then watches for changes until ctx ends. Only one
// Run may be in progress. Failed and Changed are called on its goroutine.
func (f *Follower) Run(ctx context.Context) { f.watcher.Run(ctx) }

// apply puts the valid documents in force that are newer than the documents of the view. Deleted
// entries are ignored.
func (f *Follower) apply(entries []granitehoist.Entry) {
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
