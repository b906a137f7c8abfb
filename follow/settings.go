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
	// NearRelays returns the relays among Relays that are polled first: those in this
	// router's region. If none of them can be polled, all are. Nil means that all relays
	// are near.
	NearRelays func() []granitehoist.Peer
	// Neighbours returns routers that may have a newer copy while the store is
	// unavailable; nil means none.
	Neighbours func() []granitehoist.Peer
	// FetchUpdates fetches the changes after a version from another router, which may
	// hold the call for up to wait until there is a change. It is required with Relays or
	// Neighbours.
	FetchUpdates func(ctx context.Context, to granitehoist.Peer, prefix string, after granitehoist.Version, wait time.Duration) (Update, error)
	// Prober is shared by the followers of one router; nil means a separate one.
	Prober *StoreProber
	// OnChange is called with the entries that an update changed, including deletions, and
	// the version of the update. It is also called for the first update, possibly without
	// entries. It runs on the goroutine of Run; nil ignores changes.
	OnChange func(changed []granitehoist.Entry, at granitehoist.Version)
	// Equivalent reports whether a rewritten entry is equivalent to the previous one and
	// need not be reported to OnChange and other routers; nil treats every entry as changed.
	Equivalent func(before, after granitehoist.Entry) bool
	// Compare orders two entries of a key by their content: negative if a is older than b,
	// zero if the contents don't tell. It decides between entries of different eras of the
	// store, whose versions say nothing of their content; nil prefers the later era.
	Compare func(a, b granitehoist.Entry) int
	// KeepMissing is how long keys are kept that a restored store has lost, so that their
	// writers can write them again; zero drops them at once.
	KeepMissing time.Duration
	// MinWatchInterval is the least time between the starts of two watches of the store; zero
	// means no limit. The second watch returns all changes in between in one response.
	MinWatchInterval time.Duration
	// ContactTime is the time within which the copy must have caught up after connections to the
	// store went silent while new ones work; zero means no such bound.
	ContactTime time.Duration
	// PeersKnown reports whether the relays are known. Until they are, the store is listed
	// once but not watched. Nil means that the relays are always known.
	PeersKnown func() bool
	// OnError is called with the error of each failed step; nil ignores the errors. It
	// runs on the goroutine of Run.
	OnError func(error)
	// RetryDelay is the delay before the first retry after a failure; zero means
	// DefaultRetryDelay.
	RetryDelay time.Duration
	// MaxRetryDelay is the longest delay before a retry. The delay doubles with each
	// consecutive failure. Zero means twice RetryDelay.
	MaxRetryDelay time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock granitehoist.Clock
	// Log receives the events; nil discards them.
	Log *zap.Logger
}

// setDefaults replaces zero values by defaults, so that no function is nil afterwards.
func (s *Settings) setDefaults() {
	defaults.Set(&s.RetryDelay, DefaultRetryDelay)
	defaults.Set(&s.MaxRetryDelay, defaultMaxRetryDelayFactor*s.RetryDelay)
	if s.Prober == nil {
		s.Prober = &StoreProber{}
	}
	if s.OnChange == nil {
		s.OnChange = func([]granitehoist.Entry, granitehoist.Version) {}
	}
	if s.Equivalent == nil {
		s.Equivalent = func(_, _ granitehoist.Entry) bool { return false }
	}
	if s.Compare == nil {
		s.Compare = func(_, _ granitehoist.Entry) int { return 0 }
	}
	if s.PeersKnown == nil {
		s.PeersKnown = func() bool { return true }
	}
	if s.OnError == nil {
		s.OnError = func(error) {}
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
	if s.NearRelays == nil {
		s.NearRelays = s.Relays
	}
	if s.Neighbours == nil {
		s.Neighbours = noPeers
	}
}
