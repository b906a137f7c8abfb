// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"sync"
	"sync/atomic"
	"time"
)

// A node that starts knows nothing of the requests that crash upstreams: each start of a
// router under such a request ended one more of them. So it sends nothing before it has read
// the evidence, for a bounded time, and is not ready until then.

// evidenceWait bounds that time from the start on. A router that reaches its neighbours has
// the evidence within some 0.1 s; half a second of an outage of the store beside a loss of
// all routers is what the bound costs.
const evidenceWait = 500 * time.Millisecond

// startGate is open once a node may send requests. It is safe for concurrent use.
type startGate struct {
	opened chan struct{}
	once   sync.Once
	// lacking counts the sources that have not been read yet.
	lacking atomic.Int32
}

// newStartGate returns a gate that opens when so many sources have been read.
func newStartGate(sources int32) *startGate {
	g := &startGate{opened: make(chan struct{})}
	g.lacking.Store(sources)
	if sources == 0 {
		g.open()
	}
	return g
}

// open opens the gate, whatever was read.
func (g *startGate) open() { g.once.Do(func() { close(g.opened) }) }

// read counts one source as read. It is called once for each.
func (g *startGate) read() {
	if g.lacking.Add(-1) == 0 {
		g.open()
	}
}

// isOpen reports whether the node may send requests.
func (g *startGate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}
