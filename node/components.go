// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/boottime"
	"granitehoist.example/granitehoist/internal/linkmeter"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// components holds the parts of a node that serve requests. They are set once, by
// newComponents; each guards its own state and is safe for concurrent use.
type components struct {
	// linkMeter counts the bytes on the connections of callers and upstreams.
	linkMeter *linkmeter.Meter
	// table holds the instances and selects among them.
	table *balance.Table
	// pool holds the connections to instances.
	pool *exchange.Pool
	// ledger holds the tokens that this node owns. syncer keeps it in step with the
	// record in the store and with neighbours.
	ledger *escrow.Ledger
	syncer *escrow.Syncer
	// forwarder serves requests, deadlines cancels those whose deadline has passed.
	forwarder *forward.Forwarder
	deadlines *boottime.Deadlines
	// peers holds the neighbours and calls them.
	peers *peers
	// suspects holds the evidence against requests that crash instances.
	suspects *suspects
	// signals shares and logs what upstreams say of themselves.
	signals *upstreamSignals
	// limits fetches and issues the permits for upstreams with a rate limit.
	limits *rateLimits
	// detours opens connections through neighbours while the direct path to the upstreams
	// is lost, and path probes that path. tunnels serves neighbours that have lost theirs.
	detours *detours
	path    *pathMonitor
	tunnels *tunnels
	// origins keeps where streams began.
	origins *origins
	// rollouts moves services to other releases of their upstreams.
	rollouts *rollouts
}

// newComponents builds the components of a node. current holds the configuration that
// they use, self is the node's own entry, and tunnelAddress the address at which it opens
// tunnels, empty if it opens none.
func newComponents(n *Node, self peerEntry, tunnelAddress string, current *catalog.Current) *components {
	c := &components{linkMeter: &linkmeter.Meter{}, deadlines: &boottime.Deadlines{}}
	c.signals = newUpstreamSignals(n)
	c.limits = newRateLimits(n)
	c.table = balance.New(balance.Settings{
		Zone:    n.config.Zone,
		Seed:    uint64(n.clock().UnixNano()),
		Regions: n.config.Regions,

		CrossRegionPenalty: n.config.CrossRegionPenalty,

		OnLimitChange: c.signals.onLimitChange,
		OnLeaving:     c.signals.onLeaving,
		OnBackoff:     c.signals.onBackoff,

		OnRejections: c.signals.onRejections,
	})
	c.peers = newPeers(peersSettings{
		self:      self,
		store:     n.adapter.Store,
		clock:     n.clock,
		log:       n.log,
		bootstrap: n.config.Bootstrap,
		regions:   n.config.Regions,
		table:     c.table,
		reads:     n.neighbourReads(),
	})
	c.detours = newDetours(n, c.peers)
	c.path = newPathMonitor(n, c.table, c.detours)
	c.pool = newPool(n, c)
	c.path.pool = c.pool
	c.tunnels = newTunnels(n, c, tunnelAddress)
	c.suspects = newSuspects(n, c.peers)
	c.origins = newOrigins(n, c)
	c.signals.connect(c.table, c.peers)
	c.limits.connect(c.table, c.peers)
	c.ledger = escrow.NewLedger(escrow.LedgerSettings{
		Incarnation: n.incarnation, Role: c.peers.role, LossWindow: n.config.StoreLossWindow,
		Machine: n.config.Machine,
	})
	c.syncer = newSyncer(n, c.ledger, c.peers)
	c.rollouts = newRollouts(n, c)
	c.forwarder = forward.New(forward.Settings{
		Catalog:       current,
		Budgets:       c.syncer,
		Table:         c.table,
		Pool:          c.pool,
		Codec:         n.adapter.Codec,
		Suspects:      c.suspects.table,
		SuspectsReady: c.suspects.gate.opened,
		Origins:       c.origins,
		Rollouts:      c.rollouts.forwarder(),
		Retry:         n.config.RetryBudget,
		Routers:       c.peers.routers,
		Clock:         n.clock,
		Deadlines:     c.deadlines,
		Log:           n.log,
		OnEnd:         n.counters.countRequest,
		OnNotRun:      n.counters.countNotRun,
		OnCrossing:    n.counters.countCrossing,
		ReadMemory:    &n.readMemory.upstreams,
		OnExceeded:    n.upstreamExceeded,
	})
	return c
}

// followEras makes the components write again what a restored store may have lost.
func (c *components) followEras(eras *storeEras) {
	noteInLedger := func(era granitehoist.Era, _ time.Time) { c.ledger.NoteEra(era) }
	eras.onEra = []func(granitehoist.Era, time.Time){noteInLedger, c.origins.registry.noteEra}
	eras.onRestored = []func(){c.syncer.TriggerSync, c.peers.noteRestored, c.suspects.noteRestored, c.origins.registry.noteRestored, c.rollouts.noteRestored}
}

// newSyncer connects the ledger to the store and to the neighbours. The lenders are
// looked up at each call, since they change with the fleet.
func newSyncer(n *Node, ledger *escrow.Ledger, peers *peers) *escrow.Syncer {
	return escrow.NewSyncer(escrow.SyncerSettings{
		Box:          n.config.Box,
		Ledger:       ledger,
		Store:        n.adapter.Store,
		Routers:      peers.routers,
		Boxes:        peers.boxes,
		ShardsRecord: peers.shardsRecord,
		Lenders:      peers.lenders,
		Caller:       peers,
		Clock:        n.clock,
		Log:          n.log,
	})
}

// selfEntry returns the entry that a node publishes of itself, with the address at which
// it takes calls from neighbours.
func selfEntry(c *Config, incarnation granitehoist.Incarnation, address string) peerEntry {
	return peerEntry{
		Incarnation: incarnation,
		Box:         c.Box,
		Zone:        c.Zone,
		Address:     address,
		LinkMbps:    c.LinkMbps,
	}
}

// newPool returns the connections to upstreams. The detours and the path monitor exist
// already.
func newPool(n *Node, c *components) *exchange.Pool {
	return exchange.NewPool(exchange.Settings{
		Clock:        n.clock,
		Dialer:       n.config.UpstreamDialer,
		Detour:       c.detours,
		OnOpen:       n.counters.counter(metricConnections),
		OnDial:       n.counters.countDial,
		OnPathChange: c.path.onChange,
		Meter:        c.linkMeter,
		ReadMemory:   &n.readMemory.upstreams,
		OnRead:       n.counters.readCounter(readlimit.Head, readlimit.Body, readlimit.Event),
	})
}
