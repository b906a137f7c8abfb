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
	// lostAfter is the number of different upstreams in a row whose dials failed, without a
	// successful dial in between, from which the direct path counts as lost.
	lostAfter = 2
	// isolatedAfter is the same for a router that has no detour: from there on it does not
	// dial for requests, which would only wait for the next timeout. The number is larger
	// since all upstreams of a small service may have failed.
	isolatedAfter = 4
)

// PathState is the state of the direct path from this router to the upstreams.
type PathState int

// The states of the direct path, from good to bad.
const (
	// PathOpen means that the latest dials do not suggest a partition.
	PathOpen PathState = iota
	// PathLost means that dials to lostAfter upstreams failed in a row.
	PathLost
	// PathIsolated means that dials to isolatedAfter upstreams failed in a row.
	PathIsolated
)

// directPath judges the direct path from the results of dials. The zero value is an open
// path. It is safe for concurrent use.
type directPath struct {
	// mu guards failed, the upstreams whose dials failed since the last successful dial.
	mu     sync.Mutex
	failed map[granitehoist.Upstream]bool
}

// record takes the result of a direct dial. It reports whether the path was lost or
// regained by it.
func (p *directPath) record(upstream granitehoist.Upstream, result DialResult) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.state()
	switch result {
	case DialSucceeded:
		p.failed = nil
	case DialRefused, DialTimedOut:
		if p.failed == nil {
			p.failed = map[granitehoist.Upstream]bool{}
		}
		p.failed[upstream] = true
	case DialCancelled, DialFailed:
		// The cause is this router itself.
	}
	return (before == PathOpen) != (p.state() == PathOpen)
}

// state returns the state of the path. The caller holds mu.
func (p *directPath) state() PathState {
	switch n := len(p.failed); {
	case n >= isolatedAfter:
		return PathIsolated
	case n >= lostAfter:
		return PathLost
	}
	return PathOpen
}

func (p *directPath) current() PathState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state()
}
