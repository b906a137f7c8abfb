// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/readlimit"
)

const (
	// defaultMemoryLimit replaces Config.MemoryLimit if that is zero.
	defaultMemoryLimit = 1 << 30
	// callerMemoryDivisor, upstreamMemoryDivisor and neighbourMemoryDivisor divide the
	// memory limit to give the memory of all bodies of callers, of all responses of upstreams
	// and of all messages of neighbours.
	callerMemoryDivisor    = 4
	upstreamMemoryDivisor  = 8
	neighbourMemoryDivisor = 8
)

// peerKind is the kind of a peer in metrics and logs.
type peerKind string

// The kinds of peers.
const (
	callerPeer    peerKind = "caller"
	upstreamPeer  peerKind = "upstream"
	neighbourPeer peerKind = "neighbour"
	storePeer     peerKind = "store"
)

// readMemory is the memory of what is read from peers, by their kind, so that one kind can't
// take what the others need. The zero value has no limit. It is safe for concurrent use.
type readMemory struct {
	callers, upstreams, neighbours readlimit.Memory
}

// resize sets the memory limit of the process in bytes; zero means defaultMemoryLimit.
func (m *readMemory) resize(limit int64) {
	if limit <= 0 {
		limit = defaultMemoryLimit
	}
	m.callers.SetLimit(limit / callerMemoryDivisor)
	m.upstreams.SetLimit(limit / upstreamMemoryDivisor)
	m.neighbours.SetLimit(limit / neighbourMemoryDivisor)
}

// used returns the reserved bytes by the kind of peer.
func (m *readMemory) used() map[peerKind]int64 {
	return map[peerKind]int64{callerPeer: m.callers.Used(), upstreamPeer: m.upstreams.Used(), neighbourPeer: m.neighbours.Used()}
}

// exceeded counts and logs that what a peer sent exceeded a bound. peer identifies it among
// those of its kind.
func (n *Node) exceeded(kind peerKind, peer string, e *readlimit.Error) {
	n.counters.count(1, metricReadLimitsExceeded, "from=%q,part=%q,bound=%q", kind, e.Part, e.Bound)
	n.log.Warn(event.ReadLimitExceeded,
		zap.String("from", string(kind)),
		zap.String("peer", peer),
		zap.String("part", string(e.Part)),
		zap.String("bound", string(e.Bound)),
		zap.Int64("read", e.Read))
}

// neighbourReads returns the bounds of what is read from neighbours.
func (n *Node) neighbourReads() fleet.ReadSettings {
	return fleet.ReadSettings{Memory: &n.readMemory.neighbours, OnExceeded: n.exceededBy(neighbourPeer)}
}

// upstreamExceeded is exceeded for the response of an upstream.
func (n *Node) upstreamExceeded(upstream granitehoist.Upstream, e *readlimit.Error) {
	n.exceeded(upstreamPeer, string(upstream), e)
}

// exceededBy returns exceeded for peers of a kind.
func (n *Node) exceededBy(kind peerKind) func(peer string, e *readlimit.Error) {
	return func(peer string, e *readlimit.Error) { n.exceeded(kind, peer, e) }
}
