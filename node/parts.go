// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/boottime"
	"granitehoist.example/granitehoist/internal/linkmeter"
)

// parts holds the parts that serve requests. Each guards its own state and is
// safe for concurrent use; they are set once, by newParts.
type parts struct {
	// meter counts the bytes of the callers' and the upstreams' connections.
	meter *linkmeter.Meter
	// table holds the instances and chooses among them.
	table *balance.Table
	// pool holds the connections to instances.
	pool *exchange.Pool
	// ledger holds the tokens that this node owns, syncer keeps it in step with
	// the record in the store and with neighbours.
	ledger *escrow.Ledger
	syncer *escrow.Syncer
	// forwarder serves requests, deadlines ends those whose time is over.
	forwarder *forward.Forwarder
	deadlines *boottime.Deadlines
	// peers holds and calls the neighbours.
	peers *peers
	// suspects holds the evidence against requests that crash instances.
	suspects *suspects
	// statements tells and logs what upstreams say of themselves.
	statements *statements
	// limits fetches and issues the permits for upstreams that name a limit.
	limits *limits
}

// newParts builds the parts of a node. current holds the configuration that they
// serve by, self is the node's own entry.
func newParts(n *Node, self peerEntry, current *catalog.Current) *parts {
	p := &parts{meter: &linkmeter.Meter{}, deadlines: &boottime.Deadlines{}}
	p.statements = newStatements(n)
	p.limits = newLimits(n)
	p.table = balance.New(balance.Settings{
		Zone:         n.config.Zone,
		Seed:         uint64(n.clock().UnixNano()),
		Regions:      n.config.Regions,
		LimitChanged: p.statements.limitChanged,
		LeavingNoted: p.statements.leavingNoted,
		RestNoted:    p.statements.restNoted,
	})
	p.pool = exchange.NewPool(exchange.Settings{Clock: n.clock, Opened: n.counters.counter(metricConnections), Meter: p.meter})
	p.peers = newPeers(peersSettings{
		self:  self,
		store: n.adapter.Store,
		clock: n.clock,
		log:   n.log,
		first: n.config.First,
		table: p.table,
	})
	p.suspects = newSuspects(n, p.peers)
	p.statements.connect(p.table, p.peers)
	p.limits.connect(p.table, p.peers)
	p.ledger = escrow.NewLedger(escrow.LedgerSettings{Incarnation: n.incarnation, Role: p.peers.role})
	p.syncer = newSyncer(n, p.ledger, p.peers)
	p.forwarder = forward.New(forward.Settings{
		Catalog:   current,
		Funds:     p.syncer,
		Table:     p.table,
		Pool:      p.pool,
		Codec:     n.adapter.Codec,
		Suspects:  p.suspects.table,
		Evidence:  p.suspects.gate.opened,
		Retry:     n.config.Retry,
		Routers:   p.peers.routers,
		Clock:     n.clock,
		Deadlines: p.deadlines,
		Log:       n.log,
		Ended:     n.counters.noteRequest,
	})
	return p
}

// newSyncer connects the ledger to the store and to the neighbours. The syncer
// asks peers at each call whom it borrows from, since that changes with the fleet.
func newSyncer(n *Node, ledger *escrow.Ledger, peers *peers) *escrow.Syncer {
	return escrow.NewSyncer(escrow.SyncerSettings{
		Box:     n.config.Box,
		Ledger:  ledger,
		Store:   n.adapter.Store,
		Routers: peers.routers,
		Divides: peers.dividesRecord,
		Lenders: peers.lenders,
		Caller:  peers,
		Clock:   n.clock,
		Log:     n.log,
	})
}

// selfEntry returns what a node writes of itself, with the address at which it
// takes calls of neighbours.
func selfEntry(c *Config, incarnation granitehoist.Incarnation, address string) peerEntry {
	return peerEntry{
		Incarnation: incarnation,
		Box:         c.Box,
		Zone:        c.Zone,
		Address:     address,
		LinkMbps:    c.LinkMbps,
	}
}
