// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
)

// rewriteSpread spreads the calls of the nodes that write again what a restored store has
// lost.
const rewriteSpread = 500 * time.Millisecond

// pauseToRewrite waits for a random part of rewriteSpread.
func pauseToRewrite(ctx context.Context) {
	pause.For(ctx, time.Duration(rand.Float64()*float64(rewriteSpread)))
}

// rewritesForFleet reports whether this node writes again what all nodes know: a relay, or
// every node of a fleet without relays.
func (p *peers) rewritesForFleet() bool { return p.isRelay() || len(p.relaysToAsk()) == 0 }

// storeEras tells the parts of a node when the store was restored from an older copy, so
// that they write again what it may have lost. It learns the era from the versions that the
// store returns. It is safe for concurrent use.
type storeEras struct {
	mu     sync.Mutex
	known  bool
	latest granitehoist.Era
	// onEra is called with each era, the first one included, and onRestored with each later
	// one. The functions must not block. They are set before the first call of note.
	onEra      []func(era granitehoist.Era, now time.Time)
	onRestored []func()
}

// note learns the era of a version that the store has returned at now.
func (s *storeEras) note(v granitehoist.Version, now time.Time) {
	if v == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && v.Era() <= s.latest {
		return
	}
	restored := s.known
	s.known, s.latest = true, v.Era()
	for _, f := range s.onEra {
		f(s.latest, now)
	}
	if !restored {
		return
	}
	for _, f := range s.onRestored {
		f()
	}
}
