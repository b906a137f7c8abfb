// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
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
	// config holds the settings at the start, live those that Reload can change.
	config      *Config
	live        atomic.Pointer[liveSettings]
	adapter     Adapter
	log         *zap.Logger
	clock       granitehoist.Clock
	incarnation granitehoist.Incarnation
	counters    *counters
	readMemory  readMemory

	components *components
	configs    *configCopy
	instances  *instanceCopy
	servers    *servers
	// prober limits the calls that the followers make to an unreachable store.
	prober follow.StoreProber

	// stopping is set once, by Stop. shedding is set by watchLink only.
	stopping atomic.Bool
	shedding atomic.Bool
	stopOnce sync.Once
	// cancel ends the goroutines that Start began.
	cancel context.CancelFunc
}

// New opens the listening addresses of a node and builds its components; nothing is
// served before Start. It returns an error if a setting is invalid or an address cannot
// be opened.
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
	n.live.Store(newLiveSettings(c))
	n.readMemory.resize(c.MemoryLimit)
	n.prober.Interval = follow.ProbeInterval(c.ContactTime)
	store := &countedStore{Store: a.Store, count: n.counters.countStoreCall, onExceeded: n.exceededBy(storePeer), clock: n.clock}
	n.adapter.Store = store
	current := &catalog.Current{}
	n.components = newComponents(n, selfEntry(c, n.incarnation, open.peers.Addr().String()), open.tunnelAddress(), current)
	n.components.followEras(&store.eras)
	n.configs = newConfigCopy(n, current)
	n.instances = newInstanceCopy(n)
	n.servers = newServers(n, open)
	return n, nil
}

// clockOf returns the configured clock, or time.Now.
func clockOf(c *Config) granitehoist.Clock {
	if c.Clock == nil {
		return time.Now
	}
	return c.Clock
}

// minWatchInterval is the minimum time between two watches of the store. One call then
// returns all changes of that time. It is well below the time in which routers have to act
// on a new configuration or a draining upstream.
const minWatchInterval = 500 * time.Millisecond

// defaultContactTime replaces an unknown Config.ContactTime for the followers.
const defaultContactTime = 3 * time.Second

// newFollower returns a follower with the prefix and the callbacks in s. newFollower sets
// the other settings: the store, the neighbours, the clock and the log.
func (n *Node) newFollower(s follow.Settings) *follow.Follower {
	s.Store = n.adapter.Store
	s.MinWatchInterval = minWatchInterval
	s.ContactTime = cmp.Or(n.config.ContactTime, defaultContactTime)
	s.Relays = n.components.peers.relaysToAsk
	s.NearRelays = n.components.peers.nearRelaysToAsk
	s.Neighbours = n.components.peers.neighboursToAsk
	s.PeersKnown = n.components.peers.knowsRelays
	s.FetchUpdates = n.askUpdates
	s.Prober = &n.prober
	s.Clock = n.clock
	s.Log = n.log
	return follow.New(s)
}

// FleetSize returns the number of nodes in this node's list, itself included.
func (n *Node) FleetSize() int { return n.components.peers.routers() }

// Incarnation returns the id of this process run.
func (n *Node) Incarnation() granitehoist.Incarnation { return n.incarnation }

// Start starts serving, on goroutines that end with Stop. It must be called once.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.log.Info(event.Start,
		zap.String("box", string(n.config.Box)),
		zap.String("incarnation", string(n.incarnation)),
		zap.String("callers", n.config.CallerAddress),
		zap.String("store", n.config.StoreAddress))
	go n.configs.follower.Run(ctx)
	go n.instances.follower.Run(ctx)
	go n.components.peers.run(ctx)
	go n.components.suspects.runStartGate(ctx)
	go n.components.suspects.runPush(ctx)
	go n.components.suspects.runStore(ctx)
	go n.components.origins.registry.run(ctx)
	go n.components.origins.run(ctx)
	go n.components.origins.writer.runHandOver(ctx)
	go n.components.origins.writer.runWrite(ctx)
	go n.components.signals.runPush(ctx)
	go n.components.limits.runPermits(ctx)
	go n.components.rollouts.run(ctx)
	go n.components.path.run(ctx)
	go n.watchLink(ctx)
	go n.watchSuspensions(ctx)
	go n.components.syncer.Run(ctx)
	go n.serveCalls()
	go n.serve(readyServer, n.servers.ready)
	go n.serve(callersServer, n.servers.callers)
	if n.servers.tunnels != nil {
		go n.serve(tunnelServer, n.servers.tunnels)
	}
	if n.servers.metrics != nil {
		go n.serve(metricsServer, n.servers.metrics)
	}
}

// serveCalls serves calls from neighbours until Stop.
func (n *Node) serveCalls() {
	if err := n.servers.calls.Serve(n.servers.peers); err != nil {
		n.serveErrorLogger(neighboursServer)(err)
	}
}

// serve runs one of the HTTP servers until Stop.
func (n *Node) serve(name serverName, server *httpserver.Server) {
	if err := server.Serve(); err != nil {
		n.serveErrorLogger(name)(err)
	}
}

// serveErrorLogger returns a function that logs errors of a server: a failure to accept
// connections, or a panic in a handler. Repeated lines are not suppressed: each
// request panics at most once, and net/http waits up to 1 s after a failure to accept.
func (n *Node) serveErrorLogger(name serverName) func(error) {
	return func(err error) {
		n.log.Warn(event.ServeFailed, zap.String("server", string(name)), zap.Error(err))
	}
}
