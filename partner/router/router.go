// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/gate"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/partner/orphan"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/partner/upstream"
)

// Settings configure a Router.
type Settings struct {
	Router *settings.Router
	Store  granitehoist.Store
	// Platform has the list of boxes; nil goes without.
	Platform granitehoist.Platform
	// Clock tells the time; nil stands for time.Now.
	Clock granitehoist.Clock
	// Random makes identifiers; nil stands for the system's source.
	Random io.Reader
	// Log takes the events; nil discards them.
	Log *zap.Logger
}

// Router is one router process.
type Router struct {
	settings Settings
	self     fleet.Member
	metrics  metrics.Registry

	follower *config.Follower
	registry *fleet.Registry
	client   *fleet.Client
	server   *fleet.Server
	purse    *budget.Purse
	agent    *budget.Agent
	ledger   *bill.Ledger
	sender   *bill.Sender
	gate     *gate.Gate
	table    *route.Table
	burn     report.Recorder
	orphans  *orphan.Settler
	engines  granitehoist.Protocol
	callers  *http.Server
	admin    *http.Server

	callersListener, adminListener net.Listener
	cancel                         context.CancelFunc
	loops                          sync.WaitGroup
}

// New opens the addresses of a router and builds its parts; nothing is served
// before Start. It panics if the settings lack the router or the store.
func New(s Settings) (*Router, error) {
	if s.Router == nil || s.Store == nil {
		panic("router: a setting is missing")
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Random == nil {
		s.Random = rand.Reader
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	trust, err := s.Router.TrustedKeys()
	if err != nil {
		return nil, err
	}
	r := &Router{settings: s, metrics: metrics.NewRegistry()}
	peers, err := r.listen()
	if err != nil {
		return nil, err
	}
	r.self = fleet.Member{
		Box:         s.Router.Box,
		Incarnation: granitehoist.Incarnation(granitehoist.NewID(string(s.Router.Box)+"-", s.Random)),
		Partner:     s.Router.Partner,
		Region:      s.Router.Region,
		Zone:        s.Router.Zone,
		Peers:       peers.Addr().String(),
	}
	r.build(trust)
	r.loops.Go(func() {
		if err := r.server.Serve(peers); err != nil {
			r.logFailure("peers", err)
		}
	})
	return r, nil
}

// listen opens the addresses for callers and operators, and returns the one
// for other routers.
func (r *Router) listen() (net.Listener, error) {
	var err error
	if r.callersListener, err = net.Listen("tcp", r.settings.Router.Listen.Callers); err != nil {
		return nil, eris.Wrap(err, "router: callers' address")
	}
	if r.adminListener, err = net.Listen("tcp", r.settings.Router.Listen.Admin); err != nil {
		_ = r.callersListener.Close()
		return nil, eris.Wrap(err, "router: admin address")
	}
	peers, err := net.Listen("tcp", r.settings.Router.Listen.Peers)
	if err != nil {
		_ = r.callersListener.Close()
		_ = r.adminListener.Close()
		return nil, eris.Wrap(err, "router: peers' address")
	}
	return peers, nil
}

func (r *Router) logFailure(event string, err error) {
	r.settings.Log.Warn(event, zap.Error(err))
}

func (r *Router) failureLogger(event string) func(error) {
	return func(err error) { r.logFailure(event, err) }
}

// build makes the parts and connects them.
func (r *Router) build(trust config.Trust) {
	s := r.settings
	r.client = fleet.NewClient(fleet.ClientSettings{})
	r.registry = fleet.NewRegistry(fleet.RegistrySettings{Self: r.self, Store: s.Store})
	r.follower = config.NewFollower(config.FollowerSettings{
		Store:  s.Store,
		Trust:  trust,
		Failed: r.failureLogger("config_failed"),
		Changed: func(v *config.View) {
			s.Log.Info("config_in_force", zap.Any("serials", v.Serials()))
		},
	})
	r.engines = upstream.NewEngine(upstream.Settings{})
	r.orphans = orphan.New(orphan.Settings{
		Region:  r.self.Region,
		Store:   s.Store,
		Shards:  s.Router.Budget.Shards,
		View:    r.follower.View,
		Engines: r.engines,
	})
	r.buildBudget()
	r.buildBills()
	r.buildGate()
	r.server = fleet.NewServer(fleet.ServerSettings{Self: r.self.Incarnation, Methods: map[string]fleet.HandlerFunc{
		budget.MethodSync:   fleet.Handle(r.agent.ServeSync),
		budget.MethodBorrow: fleet.Handle(r.agent.ServeBorrow),
		bill.MethodCollect:  fleet.Handle(r.sender.ServeCollect),
		methodSerials:       fleet.Handle(r.serveSerials),
		methodBurn:          fleet.Handle(r.serveBurnRows),
	}})
}

func (r *Router) buildBudget() {
	s := r.settings
	r.purse = budget.NewPurse(budget.PurseSettings{Incarnation: r.self.Incarnation, Split: s.Router.SplitOf})
	keeper := budget.NewKeeper(budget.KeeperSettings{
		Region:  r.self.Region,
		Store:   s.Store,
		Prepaid: r.prepaid,
		Split:   s.Router.SplitOf,
		Gather:  time.Duration(s.Router.Budget.Gather),
	})
	r.agent = budget.NewAgent(budget.AgentSettings{
		Box:      r.self.Box,
		Purse:    r.purse,
		Keeper:   keeper,
		Caller:   r.client,
		Holder:   r.budgetHolder,
		Peers:    r.budgetPeers,
		Clock:    s.Clock,
		Interval: time.Duration(s.Router.Budget.Interval),
		Shards:   s.Router.Budget.Shards,
		Failed:   r.failureLogger("budget_failed"),
	})
}

func (r *Router) buildBills() {
	s := r.settings
	r.ledger = bill.NewLedger(bill.LedgerSettings{Incarnation: r.self.Incarnation, Most: s.Router.Limits.Bills})
	r.sender = bill.NewSender(bill.SenderSettings{
		Ledger:    r.ledger,
		Collector: bill.NewCollector(bill.CollectorSettings{Region: r.self.Region, Incarnation: r.self.Incarnation, Store: s.Store}),
		Caller:    r.client,
		Holder:    r.billHolder,
		Failed:    r.failureLogger("bill_failed"),
	})
}

// hardHeaderBytes bounds the headers that are read at all. Below it the gate
// refuses with a numbered code.
const hardHeaderBytes = 1 << 20

func (r *Router) buildGate() {
	s := r.settings
	limits := s.Router.Limits
	r.table = route.NewTable(route.Settings{})
	r.gate = gate.New(gate.Settings{
		Zone:        r.self.Zone,
		Incarnation: r.self.Incarnation,
		View:        r.follower.View,
		Funds:       r.agent,
		Ledger:      r.ledger,
		Once:        once.New(once.Settings{Store: s.Store}),
		Table:       r.table,
		Protocols: map[config.Kind]granitehoist.Protocol{
			config.KindEngine: r.engines,
			config.KindPlain:  upstream.NewPlain(upstream.Settings{}),
		},
		Clock:   s.Clock,
		Random:  s.Random,
		Log:     s.Log,
		Metrics: r.metrics,
		Burn:    &r.burn,
		Limits: gate.Limits{
			BodyBytes:      limits.BodyBytes,
			HeaderBytes:    limits.HeaderBytes,
			ReadTimeout:    time.Duration(limits.ReadTimeout),
			RequestTimeout: time.Duration(limits.Request),
		},
	})
	r.callers = &http.Server{
		Handler:           r.gate,
		MaxHeaderBytes:    hardHeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.ReadTimeout),
		IdleTimeout:       time.Minute,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	r.admin = &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: time.Duration(limits.ReadTimeout)}
}

// prepaid tells the keeper what was prepaid on a budget.
func (r *Router) prepaid(k granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
	view := r.follower.View()
	tokens, ok := view.Prepaid(k)
	return tokens, view.Serial(k.Partner()), ok
}

// Start begins to serve.
func (r *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.loops.Go(func() { r.follow(ctx) })
	r.loops.Go(func() { r.refresh(ctx) })
	r.loops.Go(func() { r.agent.Run(ctx) })
	r.loops.Go(func() { r.sender.Run(ctx) })
	r.loops.Go(func() { r.settleOrphans(ctx) })
	r.loops.Go(func() { r.watchLeaving(ctx) })
	r.loops.Go(func() { r.serve("callers", r.callers, r.callersListener) })
	r.loops.Go(func() { r.serve("admin", r.admin, r.adminListener) })
	r.settings.Log.Info("started",
		zap.String("incarnation", string(r.self.Incarnation)),
		zap.String("callers", r.CallersAddress()),
		zap.String("peers", r.self.Peers),
		zap.String("admin", r.AdminAddress()))
}

// enrollPause is the time between tries to enter the router in the store.
const enrollPause = 500 * time.Millisecond

// follow enters the router among those that may serve, and only then reads the
// documents; before that it has none and serves nothing.
func (r *Router) follow(ctx context.Context) {
	for {
		err := r.registry.Enroll(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		r.logFailure("fleet_failed", err)
		select {
		case <-time.After(enrollPause):
		case <-ctx.Done():
			return
		}
	}
	r.follower.Run(ctx)
}

func (r *Router) serve(event string, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		r.logFailure(event, err)
	}
}

// refresh keeps the router's entry and its view of the others.
func (r *Router) refresh(ctx context.Context) {
	ticker := time.NewTicker(r.registry.Interval())
	defer ticker.Stop()
	for {
		if err := r.registry.Refresh(ctx); err != nil && ctx.Err() == nil {
			r.logFailure("fleet_failed", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// CallersAddress returns the address that callers reach.
func (r *Router) CallersAddress() string { return r.callersListener.Addr().String() }

// AdminAddress returns the address that operators reach.
func (r *Router) AdminAddress() string { return r.adminListener.Addr().String() }

// Incarnation returns the id of this run.
func (r *Router) Incarnation() granitehoist.Incarnation { return r.self.Incarnation }

// Partner returns whose router it is.
func (r *Router) Partner() granitehoist.Partner { return r.self.Partner }

// Zone returns where the router is.
func (r *Router) Zone() granitehoist.AvailabilityZone { return r.self.Zone }

// View returns the documents in force.
func (r *Router) View() *config.View { return r.follower.View() }

// budgetHolder returns the keeper of a shard.
func (r *Router) budgetHolder(s budget.Shard) (granitehoist.Peer, bool) {
	return r.holder(budget.PageKey(r.self.Region, s))
}

const collectorRole = "bill/collector"

func (r *Router) billHolder() (granitehoist.Peer, bool) { return r.holder(collectorRole) }

// holder returns the other router of the region that has a role, and false if
// it is this one or none is known.
func (r *Router) holder(role string) (granitehoist.Peer, bool) {
	m, ok := r.registry.View().Holder(r.self.Region, role)
	return m.Peer(), ok && m.Incarnation != r.self.Incarnation
}

// budgetPeers returns the routers that this one may borrow from.
func (r *Router) budgetPeers() []granitehoist.Peer {
	var peers []granitehoist.Peer
	for _, m := range r.registry.View().Region(r.self.Region) {
		if m.Incarnation != r.self.Incarnation {
			peers = append(peers, m.Peer())
		}
	}
	return peers
}
