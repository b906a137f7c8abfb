// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/throttle"
)

// An overloaded upstream states how many requests per second it accepts from all routers
// together. The limit is pushed to all nodes (upstreamsignals.go). From then on a node
// sends to the upstream only with a permit, which one node issues for all nodes
// (permits.go).

// methodPushLimits is the method by which a node tells a neighbour that a rate limit
// started or ended.
const methodPushLimits = "limits.push"

// rateLimits fetches the permits that this node's requests need, and issues those of the
// upstreams for which it is ranked first. It is safe for concurrent use.
type rateLimits struct {
	table    *balance.Table
	peers    *peers
	issuer   *throttle.Issuer
	clock    granitehoist.Clock
	counters *counters
	// avoidedIssuers holds the issuers that did not respond.
	avoidedIssuers avoidedPeers
}

// newRateLimits returns rateLimits without any limit. connect must be called before use.
func newRateLimits(n *Node) *rateLimits {
	now := n.clock()
	return &rateLimits{
		clock: n.clock, counters: n.counters,
		issuer: throttle.NewIssuer(throttle.Settings{Started: now, Seed: uint64(now.UnixNano())}),
	}
}

// connect sets the table and the neighbours. The table is created after the rate limits.
func (l *rateLimits) connect(t *balance.Table, p *peers) {
	l.table, l.peers = t, p
}
