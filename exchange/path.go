// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"sync"

	"granitehoist.example/granitehoist"
)

// A router that is partitioned from the upstreams sees each of them fail. It must not
// conclude that they have failed: other routers may reach them. The direct path is
// therefore judged over all upstreams together.

const (
	// suspectAfter is the number of different upstreams in a row whose dials failed, without
	// a successful dial in between, from which the direct path is suspected. Several
	// upstreams may also fail at the same time, so that the path counts as lost only once
	// another router has reached one of them.
	suspectAfter = 2
	// isolatedAfter is the same for a router that has no detour: from there on it does not
	// dial these upstreams for requests, which would only wait for the next timeout.
	isolatedAfter = 4
)

// PathState is the state of the direct path from this router to the upstreams.
type PathState int

// The states of the direct path.
const (
	// PathOpen means that the latest dials do not suggest a partition.
	PathOpen PathState = iota
	// PathSuspect means that dials to suspectAfter upstreams failed in a row.
	PathSuspect
	// PathLost means that another router reached one of these upstreams.
	PathLost
	// PathIsolated means that dials to isolatedAfter upstreams failed in a row and that no
	// other router has reached one of them.
	PathIsolated
)

// directPath judges the direct path from the results of dials. The zero value is an open
// path. It is safe for concurrent use.
type directPath struct {
	// mu guards the fields below it.
	mu sync.Mutex
	// failed holds the upstreams whose dials failed since the last successful dial.
	failed map[granitehoist.Upstream]bool
	// confirmed reports that another router reached one of them.
	confirmed bool
}

// record takes the result of a direct dial. It reports whether it changed the state.
func (p *directPath) record(upstream granitehoist.Upstream, result DialResult) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.state()
	switch result {
	case DialSucceeded:
		p.failed, p.confirmed = nil, false
	case DialRefused, DialTimedOut:
		if p.failed == nil {
			p.failed = map[granitehoist.Upstream]bool{}
		}
		p.failed[upstream] = true
	case DialCancelled, DialFailed:
		// The cause is this router itself.
	}
	return before != p.state()
}

// confirm takes a connection to an upstream through another router. It reports whether it
// changed the state.
func (p *directPath) confirm(upstream granitehoist.Upstream) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.state()
	p.confirmed = p.confirmed || p.failed[upstream]
	return before != p.state()
}

// state returns the state of the path. The caller holds mu.
func (p *directPath) state() PathState {
	switch n := len(p.failed); {
	case n < suspectAfter:
		return PathOpen
	case p.confirmed:
		return PathLost
	case n >= isolatedAfter:
		return PathIsolated
	}
	return PathSuspect
}

func (p *directPath) current() PathState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state()
}

// isHopeless reports whether a direct dial of upstream for a request is not worth its time.
// Upstreams that have not failed may be the only ones left after a crash of most.
func (p *directPath) isHopeless(upstream granitehoist.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failed) >= isolatedAfter && p.failed[upstream]
}
