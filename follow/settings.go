// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Settings configure a Follower.
type Settings struct {
	Store  granitehoist.Store
	Prefix string
	// Relays returns the routers that follow the store for this one; it returns
	// none, or is nil, if this one follows the store itself.
	Relays func() []granitehoist.Peer
	// Neighbours returns routers that may have a newer copy while the store
	// fails; nil asks none.
	Neighbours func() []granitehoist.Peer
	// Updates asks a router what changed after a version. That router may hold the
	// call for up to wait until something changes. It is needed with Relays or
	// Neighbours.
	Updates func(ctx context.Context, to granitehoist.Peer, prefix string, after granitehoist.Version, wait time.Duration) (Update, error)
	// Prober is shared by the followers of one router; nil means one of its own.
	Prober *Prober
	// Changed is called with the entries that an update changed, deleted ones
	// included, and the version of the update. It is also called, perhaps without
	// entries, when the copy is filled. It runs on the follower's own goroutine.
	Changed func(changed []granitehoist.Entry, at granitehoist.Version)
	// Unchanged reports whether an entry that was written again means the same as
	// before, so that neither Changed nor other routers get it; nil treats each as
	// changed.
	Unchanged func(before, after granitehoist.Entry) bool
	// MinWatchInterval is the least time from the start of one watch of the store to
	// that of the next, so that all changes in it cost one call.
	MinWatchInterval time.Duration
	// Ready reports whether it is known whom to ask. Until then the store is listed,
	// but not watched; nil stands for always.
	Ready func() bool
	// Failed is called with each error of the store; nil ignores them. It runs
	// on the follower's own goroutine.
	Failed func(error)
	// Pause is the time between tries when the store begins to fail; zero means
	// DefaultPause.
	Pause time.Duration
	// MaxPause bounds the pause, which doubles while the store fails; zero stands
	// for twice Pause.
	MaxPause time.Duration
	// Clock returns the present time; nil means time.Now.
	Clock granitehoist.Clock
	// Log takes the events; nil discards them.
	Log *zap.Logger
}

// setDefaults sets what the settings leave out, so that no other code has to check
// whether a function is nil.
func (s *Settings) setDefaults() {
	defaults.Set(&s.Pause, DefaultPause)
	defaults.Set(&s.MaxPause, defaultMaxPauseFactor*s.Pause)
	if s.Prober == nil {
		s.Prober = &Prober{}
	}
	if s.Changed == nil {
		s.Changed = func([]granitehoist.Entry, granitehoist.Version) {}
	}
	if s.Ready == nil {
		s.Ready = func() bool { return true }
	}
	if s.Failed == nil {
		s.Failed = func(error) {}
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	noPeers := func() []granitehoist.Peer { return nil }
	if s.Relays == nil {
		s.Relays = noPeers
	}
	if s.Neighbours == nil {
		s.Neighbours = noPeers
	}
}
