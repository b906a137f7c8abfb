// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/gate"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/partner/orphan"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/partner/upstream"
)

// build constructs the router's components in order of their dependencies.
func (r *Router) build() {
	engines := upstream.NewEngine()
	reads := r.peerReads()
	r.components.client = fleet.NewClient(fleet.ClientSettings{Reads: reads})
	r.buildStoreView()
	r.buildBudget()
	r.buildBills()
	r.buildOrphans(engines)
	r.buildGate(engines)
	r.servers.build(r.components.gate, r.adminHandler(), time.Duration(r.settings.Router.Limits.ReadTimeout), func(err error) { r.logFailure("callers", err) })
	r.buildPeers(reads)
}

// peerMemory bounds the messages of other routers that are being read together, in bytes.
const peerMemory = 64 << 20

// peerReads returns the bounds of what is read from other routers.
func (r *Router) peerReads() fleet.ReadSettings {
	return fleet.ReadSettings{
		Memory:     readlimit.NewMemory(peerMemory),
		OnExceeded: func(address string, e *readlimit.Error) { r.logFailure("message of "+address, e) },
	}
}

// buildStoreView constructs the document follower and the fleet registry.
func (r *Router) buildStoreView() {
	s := r.settings
	r.store.members = fleet.NewRegistry(fleet.RegistrySettings{Self: r.self, Store: s.Store})
	r.store.documents = config.NewFollower(config.FollowerSettings{
		Store:  s.Store,
		Trust:  r.trust,
		Failed: r.failureLogger("config_failed"),
		Changed: func(v *config.View) {
			s.Log.Info("config_in_force", zap.Any("serials", v.Serials()))
		},
	})
}

// buildBudget constructs the agent for the tokens that this router holds, and an allocator
// for the budget shards that it may serve for its region.
func (r *Router) buildBudget() {
	s := r.settings
	allocator := budget.NewAllocator(budget.AllocatorSettings{
		Region:     r.self.Region,
		Store:      s.Store,
		Prepaid:    r.prepaid,
		Split:      s.Router.SplitOf,
		BatchDelay: time.Duration(s.Router.Budget.MaxBatchDelay),
	})
	r.components.agent = budget.NewAgent(budget.AgentSettings{
		Box:             r.self.Box,
		Ledger:          budget.NewLedger(budget.LedgerSettings{Incarnation: r.self.Incarnation, Split: s.Router.SplitOf}),
		Allocator:       allocator,
		Caller:          r.components.client,
		RemoteAllocator: r.remoteAllocator,
		Peers:           r.budgetPeers,
		Clock:           s.Clock,
		Interval:        time.Duration(s.Router.Budget.Interval),
		Shards:          s.Router.Budget.Shards,
		OnError:         r.failureLogger("budget_failed"),
	})
}

// buildBills constructs the ledger of charges, their sender, and a collector in case this
// router has that role.
func (r *Router) buildBills() {
	s := r.settings
	r.components.ledger = bill.NewLedger(bill.LedgerSettings{Incarnation: r.self.Incarnation, MaxPending: s.Router.Limits.MaxPendingCharges})
	r.components.sender = bill.NewSender(bill.SenderSettings{
		Ledger:          r.components.ledger,
		Collector:       bill.NewCollector(bill.CollectorSettings{Region: r.self.Region, Incarnation: r.self.Incarnation, Store: s.Store}),
		Caller:          r.components.client,
		RemoteCollector: r.remoteCollector,
		Failed:          r.failureLogger("bill_failed"),
	})
}

// buildOrphans constructs the component that charges the attempts of crashed routers.
func (r *Router) buildOrphans(engines granitehoist.Protocol) {
	r.components.orphans = orphan.New(orphan.Settings{
		Region:  r.self.Region,
		Store:   r.settings.Store,
		Shards:  r.settings.Router.Budget.Shards,
		View:    r.View,
		Engines: engines,
	})
}

// buildGate constructs the handler of callers' requests.
func (r *Router) buildGate(engines granitehoist.Protocol) {
	s := r.settings
	r.components.table = route.NewTable(route.Settings{})
	r.components.burn = &report.Recorder{}
	r.components.gate = gate.New(gate.Settings{
		Zone:        r.self.Zone,
		Incarnation: r.self.Incarnation,
		View:        r.View,
		Budgets:     r.components.agent,
		Ledger:      r.components.ledger,
		Once:        once.New(once.Settings{Store: s.Store}),
		Table:       r.components.table,
		Protocols: map[config.Kind]granitehoist.Protocol{
			config.KindEngine: engines,
			config.KindPlain:  upstream.NewPlain(),
		},
		Clock:   s.Clock,
		Random:  s.Random,
		Log:     s.Log,
		Metrics: r.metrics,
		Burn:    r.components.burn,
		Limits:  r.gateLimits(),
	})
}

// gateLimits converts the configured limits; the gate replaces zeros by its defaults.
func (r *Router) gateLimits() gate.Limits {
	limits := r.settings.Router.Limits
	return gate.Limits{
		BodyBytes:      limits.BodyBytes,
		HeaderBytes:    limits.HeaderBytes,
		ReadTimeout:    time.Duration(limits.ReadTimeout),
		RequestTimeout: time.Duration(limits.RequestTimeout),
	}
}

// buildPeers constructs the server of calls from other routers.
func (r *Router) buildPeers(reads fleet.ReadSettings) {
	r.servers.peers = fleet.NewServer(fleet.ServerSettings{Self: r.self.Incarnation, Reads: reads, Methods: map[string]fleet.HandlerFunc{
		budget.MethodSync:   fleet.Handle(r.components.agent.ServeSync),
		budget.MethodBorrow: fleet.Handle(r.components.agent.ServeBorrow),
		bill.MethodCollect:  fleet.Handle(r.components.sender.ServeCollect),
		methodSerials:       fleet.Handle(r.serveSerials),
		methodBurn:          fleet.Handle(r.serveBurnRows),
	}})
}

// prepaid returns the prepaid tokens of a budget by the documents in force, the serial of
// its partner's document, and false if the budget is unknown.
func (r *Router) prepaid(k granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
	view := r.View()
	tokens, ok := view.Prepaid(k)
	return tokens, view.Serial(k.Partner()), ok
}
