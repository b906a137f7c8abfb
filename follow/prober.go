// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"cmp"
	"sync"
	"time"
)

const (
	// minProbeInterval is the least time between calls to the store while the relays report
	// that it does not respond to them. It limits the load that a large fleet puts on a
	// failed store: without it each router called the store three to four times a second for
	// each prefix.
	minProbeInterval = 2500 * time.Millisecond
	// probeMargin is the time from a probe that finds the store until its changes are in
	// force, with the delay before the probe.
	probeMargin = time.Second
)

// ProbeInterval returns the time between probes of a router that must have caught up a time
// contact after its connection to the store has returned; zero if unknown.
func ProbeInterval(contact time.Duration) time.Duration {
	return max(minProbeInterval, contact-probeMargin)
}

// StoreProber limits the rate at which a router that polls relays probes a store that does
// not respond to the relays. The followers of a router share one, so that a result counts
// for all of them. The zero value is ready to use. It is safe for concurrent use.
type StoreProber struct {
	// Interval is the least time between two probes; zero means ProbeInterval(0). If the
	// store fails for the relays only, this router may learn of changes that much late.
	Interval time.Duration

	mu sync.Mutex
	// lastProbeAt is when the last probe began; zero if there was none. storeResponds says
	// that the last recorded call succeeded.
	lastProbeAt   time.Time
	storeResponds bool
}

// allow reports whether the store may be called now. It returns true if the last recorded
// call succeeded. Otherwise a call is a probe, and allow returns true at most once in
// Interval.
func (p *StoreProber) allow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeResponds {
		return true
	}
	if !p.lastProbeAt.IsZero() && now.Sub(p.lastProbeAt) < cmp.Or(p.Interval, minProbeInterval) {
		return false
	}
	p.lastProbeAt = now
	return true
}

// record stores whether a call to the store succeeded.
func (p *StoreProber) record(responded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeResponds = responded
}
