// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/event"
)

// Copy is the state of a prefix at one version of the store.
type Copy struct {
	Prefix  string               `json:"prefix"`
	At      granitehoist.Version `json:"at"`
	Entries []granitehoist.Entry `json:"entries,omitempty"`
}

// Settings configure a Follower.
type Settings struct {
	Store  granitehoist.Store
	Prefix string
	// Neighbours asks other routers for a copy that is newer than a version,
	// and returns false if none has one; nil asks nobody.
	Neighbours func(ctx context.Context, prefix string, after granitehoist.Version) (Copy, bool)
	// Changed is told of each changed entry, a deleted one included, and of
	// the end of each list or batch of changes. It runs on the follower's own
	// goroutine.
	Changed func(changed []granitehoist.Entry, at granitehoist.Version)
	// Pause is the time between tries while the store fails; zero stands for
	// DefaultPause.
	Pause time.Duration
	Clock granitehoist.Clock
	Log   *zap.Logger
}

// DefaultPause keeps the calls of a router whose store fails to a few a second.
const DefaultPause = 250 * time.Millisecond

// maxPauses bounds the pause while the store fails for long.
const maxPauses = 4

// Follower keeps the copy of one prefix. Run drives it.
type Follower struct {
	settings Settings

	mu      sync.Mutex
	entries map[string]granitehoist.Entry
	at      granitehoist.Version
	heard   time.Time
	known   bool
}

// New returns a follower that knows nothing yet. It panics if the settings
// lack the store or the prefix.
func New(s Settings) *Follower {
	if s.Store == nil || s.Prefix == "" {
		panic("follow: a setting is missing")
	}
	defaults.Set(&s.Pause, DefaultPause)
	if s.Changed == nil {
		s.Changed = func([]granitehoist.Entry, granitehoist.Version) {}
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	return &Follower{settings: s, entries: map[string]granitehoist.Entry{}}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	down := false
	pause := f.settings.Pause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != down {
			down = err != nil
			f.logState(down, err)
		}
		if err == nil {
			pause = f.settings.Pause
			continue
		}
		f.askNeighbours(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPauses*f.settings.Pause)
	}
}

func (f *Follower) logState(down bool, err error) {
	fields := []zap.Field{zap.String("prefix", f.settings.Prefix), zap.Uint64("at", uint64(f.At()))}
	if down {
		f.settings.Log.Warn(event.StoreLost, append(fields, zap.Error(err))...)
		return
	}
	f.settings.Log.Info(event.StoreRegained, fields...)
}

// step lists the prefix if nothing is known of it, and waits for changes
// otherwise.
func (f *Follower) step(ctx context.Context) error {
	if !f.Known() {
		return f.list(ctx)
	}
	changed, at, err := f.settings.Store.Watch(ctx, f.settings.Prefix, f.At())
	if errors.Is(err, granitehoist.ErrHistoryGone) {
		f.settings.Log.Warn(event.HistoryGone, zap.String("prefix", f.settings.Prefix), zap.Uint64("at", uint64(f.At())))
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.apply(changed, at)
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	entries, at, err := f.settings.Store.List(ctx, f.settings.Prefix)
	if err != nil {
		return err
	}
	f.replace(Copy{Prefix: f.settings.Prefix, At: at, Entries: entries})
	return nil
}

func (f *Follower) askNeighbours(ctx context.Context) {
	if f.settings.Neighbours == nil {
		return
	}
	newer, ok := f.settings.Neighbours(ctx, f.settings.Prefix, f.At())
	if !ok || newer.Prefix != f.settings.Prefix || newer.At <= f.At() {
		return
	}
	f.settings.Log.Info(event.CopyFromNeighbour, zap.String("prefix", f.settings.Prefix), zap.Uint64("at", uint64(newer.At)))
	f.replace(newer)
}

// replace takes a whole copy. Keys that it lacks are gone.
func (f *Follower) replace(c Copy) {
	f.mu.Lock()
	if f.known && c.At < f.at {
		f.mu.Unlock()
		return
	}
	var changed []granitehoist.Entry
	present := map[string]bool{}
	for _, e := range c.Entries {
		present[e.Key] = true
		if f.entries[e.Key].Version < e.Version {
			f.entries[e.Key] = e
			changed = append(changed, e)
		}
	}
	for key, e := range f.entries {
		if !present[key] && e.Version <= c.At {
			delete(f.entries, key)
			changed = append(changed, granitehoist.Entry{Key: key, Version: c.At, Deleted: true})
		}
	}
	f.hear(c.At)
	f.mu.Unlock()
	f.settings.Changed(changed, c.At)
}

// apply takes a batch of changes.
func (f *Follower) apply(events []granitehoist.Entry, at granitehoist.Version) {
	f.mu.Lock()
	var changed []granitehoist.Entry
	for _, e := range events {
		if e.Version <= f.at || f.entries[e.Key].Version >= e.Version {
			continue
		}
		changed = append(changed, e)
		if e.Deleted {
			delete(f.entries, e.Key)
			continue
		}
		f.entries[e.Key] = e
	}
	f.hear(at)
	f.mu.Unlock()
	if len(changed) > 0 {
		f.settings.Changed(changed, at)
	}
}

func (f *Follower) hear(at granitehoist.Version) {
	f.at = max(f.at, at)
	f.heard = f.settings.Clock()
	f.known = true
}

// At returns the store's version of the copy.
func (f *Follower) At() granitehoist.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

// Known reports whether the prefix has been read at all.
func (f *Follower) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Age returns the time since the copy was last known to be the newest.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.heard)
}

// Newer returns the copy if it is newer than a version.
func (f *Follower) Newer(after granitehoist.Version) (Copy, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || f.at <= after {
		return Copy{}, false
	}
	c := Copy{Prefix: f.settings.Prefix, At: f.at}
	for _, e := range f.entries {
		c.Entries = append(c.Entries, e)
	}
	return c, true
}

// Prefix returns the prefix that is followed.
func (f *Follower) Prefix() string { return f.settings.Prefix }
