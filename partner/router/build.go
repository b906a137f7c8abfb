// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"time"

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
	"granitehoist.example/granitehoist/partner/upstream"
)

// build makes the parts, in the order in which they need each other, and
// connects them.
func (r *Router) build() {
	engines := upstream.NewEngine()
	r.parts.client = fleet.NewClient(fleet.ClientSettings{})
	r.buildStoreView()
	r.buildBudget()
	r.buildBills()
	r.buildOrphans(engines)
	r.buildGate(engines)
	r.servers.build(r.parts.gate, r.adminHandler(), time.Duration(r.settings.Router.Limits.ReadTimeout), func(err error) { r.logFailure("callers", err) })
	r.buildPeers()
}

// buildStoreView makes the followers of the documents and of the fleet.
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

// buildBudget makes the agent over the tokens that this router holds and the
// pages that it keeps for its region.
func (r *Router) buildBudget() {
	s := r.settings
	keeper := budget.NewKeeper(budget.KeeperSettings{
		Region:  r.self.Region,
		Store:   s.Store,
		Prepaid: r.prepaid,
		Split:   s.Router.SplitOf,
		Gather:  time.Duration(s.Router.Budget.Gather),
	})
	r.parts.agent = budget.NewAgent(budget.AgentSettings{
		Box:          r.self.Box,
		Purse:        budget.NewPurse(budget.PurseSettings{Incarnation: r.self.Incarnation, Split: s.Router.SplitOf}),
		Keeper:       keeper,
		Caller:       r.parts.client,
		RemoteKeeper: r.remoteKeeper,
		Peers:        r.budgetPeers,
		Clock:        s.Clock,
		Interval:     time.Duration(s.Router.Budget.Interval),
		Shards:       s.Router.Budget.Shards,
		Failed:       r.failureLogger("budget_failed"),
	})
}

// buildBills makes the ledger of charges and the sender to their collector, which
// any router may be.
func (r *Router) buildBills() {
	s := r.settings
	r.parts.ledger = bill.NewLedger(bill.LedgerSettings{Incarnation: r.self.Incarnation, MaxPending: s.Router.Limits.Bills})
	r.parts.sender = bill.NewSender(bill.SenderSettings{
		Ledger:          r.parts.ledger,
		Collector:       bill.NewCollector(bill.CollectorSettings{Region: r.self.Region, Incarnation: r.self.Incarnation, Store: s.Store}),
		Caller:          r.parts.client,
		RemoteCollector: r.remoteCollector,
		Failed:          r.failureLogger("bill_failed"),
	})
}

// buildOrphans makes the settler of the charges of dead routers.
func (r *Router) buildOrphans(engines granitehoist.Protocol) {
	r.parts.orphans = orphan.New(orphan.Settings{
		Region:  r.self.Region,
		Store:   r.settings.Store,
		Shards:  r.settings.Router.Budget.Shards,
		View:    r.View,
		Engines: engines,
	})
}

// buildGate makes what serves callers.
func (r *Router) buildGate(engines granitehoist.Protocol) {
	s := r.settings
	r.parts.table = route.NewTable(route.Settings{})
	r.parts.burn = &report.Recorder{}
	r.parts.gate = gate.New(gate.Settings{
		Zone:        r.self.Zone,
		Incarnation: r.self.Incarnation,
		View:        r.View,
		Funds:       r.parts.agent,
		Ledger:      r.parts.ledger,
		Once:        once.New(once.Settings{Store: s.Store}),
		Table:       r.parts.table,
		Protocols: map[config.Kind]granitehoist.Protocol{
			config.KindEngine: engines,
			config.KindPlain:  upstream.NewPlain(),
		},
		Clock:   s.Clock,
		Random:  s.Random,
		Log:     s.Log,
		Metrics: r.metrics,
		Burn:    r.parts.burn,
		Limits:  r.gateLimits(),
	})
}

// gateLimits returns the limits of the file; zeros take the defaults of the gate.
func (r *Router) gateLimits() gate.Limits {
	limits := r.settings.Router.Limits
	return gate.Limits{
		BodyBytes:      limits.BodyBytes,
		HeaderBytes:    limits.HeaderBytes,
		ReadTimeout:    time.Duration(limits.ReadTimeout),
		RequestTimeout: time.Duration(limits.Request),
	}
}

// buildPeers makes the server of the calls that other routers make.
func (r *Router) buildPeers() {
	r.servers.peers = fleet.NewServer(fleet.ServerSettings{Self: r.self.Incarnation, Methods: map[string]fleet.HandlerFunc{
		budget.MethodSync:   fleet.Handle(r.parts.agent.ServeSync),
		budget.MethodBorrow: fleet.Handle(r.parts.agent.ServeBorrow),
		bill.MethodCollect:  fleet.Handle(r.parts.sender.ServeCollect),
		methodSerials:       fleet.Handle(r.serveSerials),
		methodBurn:          fleet.Handle(r.serveBurnRows),
	}})
}

// prepaid returns what was prepaid on a budget by the documents in force, the
// serial of that document, and false if no document has the budget.
func (r *Router) prepaid(k granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
	view := r.View()
	tokens, ok := view.Prepaid(k)
	return tokens, view.Serial(k.Partner()), ok
}
