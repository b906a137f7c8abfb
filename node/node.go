// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/linkmeter"
)

// Node is one router process.
type Node struct {
	config      *Config
	adapter     Adapter
	log         *zap.Logger
	incarnation granitehoist.Incarnation
	metrics     metrics.Registry

	catalog   catalog.Current
	table     *balance.Table
	pool      *exchange.Pool
	meter     linkmeter.Meter
	ledger    *escrow.Ledger
	syncer    *escrow.Syncer
	path      *forward.Path
	configs   *follow.Follower
	instances *follow.Follower
	peers     *peers
	server    *fleet.Server

	callers, ready   *http.Server
	callersAt        net.Listener
	readyAt, peersAt net.Listener
	metricsAt        net.Listener
	leaving          atomic.Bool
	shedding         atomic.Bool
	stopping         sync.Once
	cancel           context.CancelFunc
	loops            sync.WaitGroup
}

// New opens the addresses of a node and builds its parts. Nothing is served
// before Start.
func New(c *Config, a Adapter, log *zap.Logger) (*Node, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		config:      c,
		adapter:     a,
		log:         log,
		incarnation: granitehoist.Incarnation(granitehoist.NewID(string(c.Box)+"-", rand.Reader)),
		metrics:     metrics.NewRegistry(),
	}
	n.adapter.Store = &countedStore{Store: a.Store, count: func(call, result string) {
		n.count(1, metricStoreCalls, "call=%q,result=%q", call, result)
	}}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.build()
	return n, nil
}

func (n *Node) listen() error {
	var err error
	if n.callersAt, err = net.Listen("tcp", n.config.Callers); err != nil {
		return eris.Wrap(err, "node: address for callers")
	}
	if n.readyAt, err = net.Listen("tcp", n.config.Ready); err != nil {
		return eris.Wrap(err, "node: address for readiness")
	}
	peersAt := net.JoinHostPort(n.config.IP, strconv.Itoa(n.config.PeerPort))
	if n.peersAt, err = net.Listen("tcp", peersAt); err != nil {
		return eris.Wrap(err, "node: address for neighbours")
	}
	if n.config.Metrics == "" {
		return nil
	}
	if n.metricsAt, err = net.Listen("tcp", n.config.Metrics); err != nil {
		return eris.Wrap(err, "node: address for metrics")
	}
	return nil
}

func (n *Node) build() {
	n.table = balance.New(balance.Settings{Zone: n.config.Zone, Seed: uint64(time.Now().UnixNano())})
	n.pool = exchange.NewPool(exchange.Settings{Opened: n.counter(metricConnections), Meter: &n.meter})
	n.peers = newPeers(peersSettings{
		self:  peerEntry{Incarnation: n.incarnation, Box: n.config.Box, Zone: n.config.Zone, Address: n.peersAt.Addr().String(), LinkMbps: n.config.LinkMbps},
		store: n.adapter.Store,
		log:   n.log,
		first: n.config.First,
	})
	n.ledger = escrow.NewLedger(escrow.LedgerSettings{Incarnation: n.incarnation})
	n.syncer = escrow.NewSyncer(escrow.SyncerSettings{
		Box: n.config.Box, Ledger: n.ledger, Store: n.adapter.Store, Routers: n.peers.sharers, Writes: n.peers.writesRecord, Serves: n.peers.isRelay, Clock: time.Now, Log: n.log,
		Lenders: n.peers.lenders, Caller: n.peers,
	})
	n.path = forward.New(forward.Settings{
		Catalog: &n.catalog, Funds: n.syncer, Table: n.table, Pool: n.pool, Codec: n.adapter.Codec,
		Retry: n.config.Retry, Routers: n.peers.routers, Clock: time.Now, Log: n.log, Ended: n.noteRequest,
	})
	n.configs = n.follower(n.adapter.ConfigPrefix, n.configChanged, nil)
	n.instances = n.follower(n.adapter.InstancesPrefix, n.instancesChanged, n.sameInstance)
	n.server = fleet.NewServer(fleet.ServerSettings{Self: n.incarnation, Methods: map[string]fleet.HandlerFunc{
		methodUpdates:      fleet.Handle(n.serveUpdates),
		escrow.MethodLend:  fleet.Handle(n.syncer.ServeLend),
		escrow.MethodRepay: fleet.Handle(n.syncer.ServeRepay),
	}, Greetings: map[string]fleet.HandlerFunc{
		methodGreet: fleet.Handle(n.peers.serveGreet),
	}})
	n.buildServers()
}

// gatherChanges is how long changes of a prefix are gathered for one watch. It is
// short beside the times within which a configuration and an upstream's leaving
// have to be acted upon.
const gatherChanges = 500 * time.Millisecond

func (n *Node) follower(prefix string, changed func([]granitehoist.Entry, granitehoist.Version), same func(before, after granitehoist.Entry) bool) *follow.Follower {
	return follow.New(follow.Settings{
		Store: n.adapter.Store, Prefix: prefix, Changed: changed, Same: same, Gather: gatherChanges,
		Relays: n.peers.relaysToAsk, Neighbours: n.peers.neighboursToAsk, Updates: n.askUpdates, Clock: time.Now, Log: n.log,
	})
}

// sameInstance reports whether an upstream announced itself again as before.
func (n *Node) sameInstance(before, after granitehoist.Entry) bool {
	was, err := n.adapter.DecodeInstance(before)
	if err != nil {
		return false
	}
	is, err := n.adapter.DecodeInstance(after)
	was.Version = is.Version
	return err == nil && is == was
}

// Bounds of what clients may do before a configuration says so. Connections
// may rest for longer than the configuration's limit, so that the router never
// closes one that a client is still entitled to use.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	headerBytes   = 16 << 10
)

func (n *Node) buildServers() {
	handler := n.adapter.Frontend(n.path, &n.catalog, time.Now, func() bool { return n.leaving.Load() || n.shedding.Load() })
	quiet := zap.NewStdLog(zap.NewNop())
	n.callers = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          quiet,
	}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout, ErrorLog: quiet}
}

// Ready reports whether the node can serve clients.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && !n.shedding.Load() && n.catalog.Get() != nil && n.instances.Known()
}

// Routers returns the number of nodes that this one knows of, itself included.
func (n *Node) Routers() int { return n.peers.routers() }

// Incarnation returns the id of this run.
func (n *Node) Incarnation() granitehoist.Incarnation { return n.incarnation }

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start begins to serve.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.log.Info(event.Start,
		zap.String("box", string(n.config.Box)), zap.String("incarnation", string(n.incarnation)),
		zap.String("callers", n.config.Callers), zap.String("store", n.config.Store))
	n.loops.Go(func() { n.configs.Run(ctx) })
	n.loops.Go(func() { n.instances.Run(ctx) })
	n.loops.Go(func() { n.peers.run(ctx) })
	n.loops.Go(func() { n.watchLink(ctx) })
	n.loops.Go(func() { n.syncer.Run(ctx) })
	n.loops.Go(func() {
		if err := n.server.Serve(n.peersAt); err != nil {
			n.log.Warn(event.ServeFailed, zap.Error(err))
		}
	})
	n.serve("ready", n.ready, n.readyAt)
	n.serve("callers", n.callers, n.meter.Listener(n.callersAt))
	if n.metricsAt != nil {
		n.serve("metrics", &http.Server{Handler: http.HandlerFunc(n.serveMetrics), ReadHeaderTimeout: headerTimeout}, n.metricsAt)
	}
}

func (n *Node) serve(name string, server *http.Server, listener net.Listener) {
	n.loops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.Warn(event.ServeFailed, zap.String("server", name), zap.Error(err))
		}
	})
}

// configChanged puts a configuration in force. One that can't be read leaves
// the last good one in force.
func (n *Node) configChanged(changed []granitehoist.Entry, _ granitehoist.Version) {
	for _, e := range changed {
		if e.Key != n.adapter.ConfigKey || e.Deleted {
			continue
		}
		snapshot, err := n.decode(e)
		if err != nil {
			n.log.Error(event.ConfigBad, zap.Uint64("version", uint64(e.Version)), zap.Error(err))
			continue
		}
		if !n.catalog.Offer(snapshot) {
			continue
		}
		for name, w := range snapshot.Workspaces() {
			if w.Limited {
				n.ledger.SetLimit(name, w.Prepaid)
			}
		}
		n.syncer.Kick()
		n.log.Info(event.ConfigInForce, zap.Uint64("version", uint64(snapshot.Version)), zap.Int64("revision", snapshot.Revision))
	}
}

func (n *Node) decode(e granitehoist.Entry) (*catalog.Snapshot, error) {
	document, err := n.adapter.DecodeConfig(e)
	if err != nil {
		return nil, err
	}
	return catalog.Build(document, e.Version)
}

// instancesChanged takes in the announcements of upstreams.
func (n *Node) instancesChanged(changed []granitehoist.Entry, at granitehoist.Version) {
	for _, e := range changed {
		if e.Deleted {
			n.instanceGone(e, at)
			continue
		}
		instance, err := n.adapter.DecodeInstance(e)
		if err != nil {
			n.log.Error(event.UpstreamBad, zap.Uint64("version", uint64(e.Version)), zap.Error(err))
			continue
		}
		before, known := n.table.Announce(instance)
		if known && before.Draining == instance.Draining && before.Address == instance.Address {
			continue
		}
		n.log.Info(event.Upstream, zap.String("upstream", string(instance.ID)), zap.String("service", string(instance.Service)),
			zap.String("address", instance.Address), zap.Bool("draining", instance.Draining), zap.Uint64("version", uint64(e.Version)))
	}
}

func (n *Node) instanceGone(e granitehoist.Entry, at granitehoist.Version) {
	instance, known := n.table.Remove(n.adapter.InstanceID(e.Key), time.Now())
	if !known {
		return
	}
	n.pool.Forget(instance.Address)
	n.log.Info(event.UpstreamGone, zap.String("upstream", string(instance.ID)), zap.Uint64("at", uint64(at)))
}
