// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/throttle"
)

// An upstream in need names how many requests a second it takes from all routers together.
// The node that sees such a limit begin or end tells all others (push.go), so that none
// finds out by a request of its own: with 295 routers that would be 295 requests. From then
// on a node sends there only with a permit, which one node issues for all (permits.go).

// methodPushLimits is the method by which a node tells a neighbour of limits that it saw
// begin or end.
const methodPushLimits = "limits.push"

// limits fetches the permits that a node's requests need, and issues those of upstreams for
// which the node is ranked first. It is safe for concurrent use.
type limits struct {
	table    *balance.Table
	peers    *peers
	issuer   *throttle.Issuer
	clock    granitehoist.Clock
	counters *counters
	// avoided holds the issuers that did not answer.
	avoided avoidedPeers
}

// newLimits returns a node's limits before any is known. They are used from connect on.
func newLimits(n *Node) *limits {
	now := n.clock()
	return &limits{
		clock: n.clock, counters: n.counters,
		issuer: throttle.NewIssuer(throttle.Settings{Started: now, Seed: uint64(now.UnixNano())}),
	}
}

// connect sets what the limits work with. The table is made after them, since it tells
// them of changes.
func (l *limits) connect(t *balance.Table, p *peers) {
	l.table, l.peers = t, p
}
