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

// Settings configures a Follower. Store and Prefix are required.
type Settings struct {
	Store  granitehoist.Store
	Prefix string
	// Relays returns the routers to poll instead of the store. It returns none, or is nil,
	// if this router follows the store itself.
	Relays func() []granitehoist.Peer
	// Neighbours returns routers that may have a newer copy while the store is
	// unavailable; nil means none.
	Neighbours func() []granitehoist.Peer
	// Updates fetches the changes after a version from another router, which may hold the
	// call for up to wait until there is a change. It is required with Relays or
	// Neighbours.
	Updates func(ctx context.Context, to granitehoist.Peer, prefix string, after granitehoist.Version, wait time.Duration) (Update, error)
	// Prober is shared by the followers of one router; nil means a separate one.
	Prober *Prober
	// Changed is called with the entries that an update changed, including deletions, and
	// the version of the update. It is also called for the first update, possibly without
	// entries. It runs on the goroutine of Run; nil ignores changes.
	Changed func(changed []granitehoist.Entry, at granitehoist.Version)
	// Unchanged reports whether a rewritten entry is equivalent to the previous one and
	// need not be reported to Changed and other routers; nil treats every entry as changed.
	Unchanged func(before, after granitehoist.Entry) bool
	// MinWatchInterval is the least time between the starts of two watches of the store, so
	// that one call returns all changes of that time; zero means no limit.
	MinWatchInterval time.Duration
	// Ready reports whether the relays are known. Until then the store is listed once but
	// not watched; nil means always.
	Ready func() bool
	// Failed is called with the error of each failed step; nil ignores them. It runs on the
	// goroutine of Run.
	Failed func(error)
	// Pause is the delay before the first retry after a failure; zero means DefaultPause.
	Pause time.Duration
	// MaxPause bounds the delay, which doubles with each failure; zero means twice Pause.
	MaxPause time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock granitehoist.Clock
	// Log receives the events; nil discards them.
	Log *zap.Logger
}

// setDefaults replaces zero values by defaults, so that no function is nil afterwards.
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
