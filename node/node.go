// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/httpserver"
)

// Node is one router process. Its methods are safe for concurrent use.
type Node struct {
	// config holds the settings at the start, live those that Reload may change.
	config      *Config
	live        atomic.Pointer[liveSettings]
	adapter     Adapter
	log         *zap.Logger
	clock       granitehoist.Clock
	incarnation granitehoist.Incarnation
	counters    *counters

	parts     *parts
	configs   *configCopy
	instances *instanceCopy
	servers   *servers
	// prober bounds the calls of the followers to a store that is away.
	prober follow.Prober

	// leaving is set once, by Stop. shedding is set by watchLink only.
	leaving  atomic.Bool
	shedding atomic.Bool
	stopping sync.Once
	// cancel ends the goroutines that Start began.
	cancel context.CancelFunc
}

// New opens the addresses of a node and builds its parts. Nothing is served
// before Start. It returns an error if a setting is wrong or an address can't be
// opened.
func New(c *Config, a Adapter, log *zap.Logger) (*Node, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	open, err := listen(c)
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:      c,
		adapter:     a,
		log:         log,
		clock:       clockOf(c),
		incarnation: granitehoist.Incarnation(granitehoist.NewID(string(c.Box)+"-", rand.Reader)),
		counters:    newCounters(),
	}
	n.live.Store(liveOf(c))
	n.adapter.Store = &countedStore{Store: a.Store, count: n.counters.noteStoreCall}
	current := &catalog.Current{}
	n.parts = newParts(n, selfEntry(c, n.incarnation, open.peers.Addr().String()), current)
	n.configs = newConfigCopy(n, current)
	n.instances = newInstanceCopy(n)
	n.servers = newServers(n, open)
	return n, nil
}

// clockOf returns the clock of the settings.
func clockOf(c *Config) granitehoist.Clock {
	if c.Clock == nil {
		return time.Now
	}
	return c.Clock
}

// gatherChanges is the least time from one watch of the store to the next, so that
// changes within it cost one call. It is a quarter of the 2 s in which the users'
// pages want the routers to act on a configuration and on an upstream that leaves.
// Commit c1de361 introduced it together with relays (16,656 to 2,626 calls); the
// value was chosen, not measured on its own.
const gatherChanges = 500 * time.Millisecond

// newFollower returns a follower of a prefix. The settings hold the prefix and
// what to do with changes; newFollower adds how the node reaches the store and
// its neighbours.
func (n *Node) newFollower(s follow.Settings) *follow.Follower {
	s.Store = n.adapter.Store
	s.MinWatchInterval = gatherChanges
	s.Relays = n.parts.peers.relaysToAsk
	s.Neighbours = n.parts.peers.neighboursToAsk
	s.Ready = n.parts.peers.knowsRelays
	s.Updates = n.askUpdates
	s.Prober = &n.prober
	s.Clock = n.clock
	s.Log = n.log
	return follow.New(s)
}

// Routers returns the number of nodes in this one's list, itself included.
func (n *Node) Routers() int { return n.parts.peers.routers() }

// Incarnation returns the id of this run.
func (n *Node) Incarnation() granitehoist.Incarnation { return n.incarnation }

// Start begins to serve, on goroutines that end with Stop. It is called once.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.log.Info(event.Start,
		zap.String("box", string(n.config.Box)),
		zap.String("incarnation", string(n.incarnation)),
		zap.String("callers", n.config.Callers),
		zap.String("store", n.config.Store))
	go n.configs.follower.Run(ctx)
	go n.instances.follower.Run(ctx)
	go n.parts.peers.run(ctx)
	go n.parts.suspects.runStart(ctx)
	go n.parts.suspects.runPush(ctx)
	go n.parts.suspects.runKeeping(ctx)
	go n.parts.statements.runPush(ctx)
	go n.parts.limits.runPermits(ctx)
	go n.watchLink(ctx)
	go n.watchSuspensions(ctx)
	go n.parts.syncer.Run(ctx)
	go n.serveCalls()
	go n.serve(readyServer, n.servers.ready)
	go n.serve(callersServer, n.servers.callers)
	if n.servers.metrics != nil {
		go n.serve(metricsServer, n.servers.metrics)
	}
}

// serveCalls answers neighbours until Stop.
func (n *Node) serveCalls() {
	if err := n.servers.calls.Serve(n.servers.peers); err != nil {
		n.serveFailed(neighboursServer)(err)
	}
}

// serve runs one of the HTTP servers until Stop.
func (n *Node) serve(name serverName, server *httpserver.Server) {
	if err := server.Serve(); err != nil {
		n.serveFailed(name)(err)
	}
}

// serveFailed returns the function that logs the failures of a server: that it
// can't accept connections, or that a handler panicked. A panic is one line a
// request; net/http waits longer after each failure to accept, up to 1 s.
func (n *Node) serveFailed(name serverName) func(error) {
	return func(err error) {
		n.log.Warn(event.ServeFailed, zap.String("server", string(name)), zap.Error(err))
	}
}
