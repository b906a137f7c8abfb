// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"sync"
	"time"
)

// probeInterval is the least time from one call of the store to the next at a router
// whose relays all say that the store does not answer them. It is shorter than the
// 4 s (3 s, on a smaller site) in which the users want a change of the configuration
// in force, for the rare case that the store is away for the relays and not for this
// router. Without the bound each router of a large fleet called the store three to
// four times a second while it was away, for each prefix (counted from the logs of a
// day of 86 routers).
const probeInterval = 2500 * time.Millisecond

// Prober bounds the calls with which a router behind relays finds out whether the
// store answers it though it does not answer the relays. The followers of a router
// share one: what one of them finds out holds for all. The zero value works; it is
// safe for concurrent use.
type Prober struct {
	mu sync.Mutex
	// began is when the last probe began, zero if there was none. answered says that
	// the store answered it, or has answered any call since.
	began    time.Time
	answered bool
}

// allows reports whether the store may be called now, and counts the call as a probe
// if the store has not answered the one before.
func (p *Prober) allows(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered {
		return true
	}
	if !p.began.IsZero() && now.Sub(p.began) < probeInterval {
		return false
	}
	p.began = now
	return true
}

// note records whether the store answered a call.
func (p *Prober) note(answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = answered
}
