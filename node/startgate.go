// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"sync"
	"sync/atomic"
	"time"
)

// A starting node has no evidence against requests that crash upstreams, and could forward
// one of these requests again. It therefore forwards nothing and is not ready until it has
// read the evidence or maxEvidenceWait has passed.

// maxEvidenceWait bounds the wait for evidence, in case neither the store nor the
// neighbours respond. A node that reaches its neighbours has the evidence within about 0.1
// s.
const maxEvidenceWait = 500 * time.Millisecond

// startGate is open once a node may forward requests. It is safe for concurrent use.
type startGate struct {
	opened chan struct{}
	once   sync.Once
	// pendingSources is the number of sources not read yet.
	pendingSources atomic.Int32
}

// newStartGate returns a gate that opens when the given number of sources have been read.
func newStartGate(sources int32) *startGate {
	g := &startGate{opened: make(chan struct{})}
	g.pendingSources.Store(sources)
	if sources == 0 {
		g.open()
	}
	return g
}

// open opens the gate, whether or not all sources were read.
func (g *startGate) open() { g.once.Do(func() { close(g.opened) }) }

// sourceRead marks one source as read. It must be called once per source.
func (g *startGate) sourceRead() {
	if g.pendingSources.Add(-1) == 0 {
		g.open()
	}
}

// isOpen reports whether the node may forward requests.
func (g *startGate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}
