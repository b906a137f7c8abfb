// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"crypto/rand"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/gate"
	"granitehoist.example/granitehoist/partner/orphan"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/partner/settings"
)

// Settings configure a Router. Router and Store are required.
type Settings struct {
	// Router is the file of the box. It is not changed after New.
	Router *settings.Router
	// Store is the platform's store.
	Store granitehoist.Store
	// Platform has the list of boxes. If it is nil, leaving upstreams get requests
	// until they refuse, and no router is taken to be removed.
	Platform granitehoist.Platform
	// Clock gives the time; nil stands for time.Now.
	Clock granitehoist.Clock
	// Random makes identifiers; nil stands for the system's source.
	Random io.Reader
	// Log takes the events; nil discards them.
	Log *zap.Logger
}

// Router is one router process: its servers, its view of the store and the
// parts that serve requests. New, Start and Stop or Kill are called in this
// order by one goroutine; the other methods are safe for concurrent use.
type Router struct {
	settings Settings
	// trust is the keys of Settings.Router, decoded.
	trust config.Trust
	// self is the router's own entry in the fleet; it is not changed after New.
	self    fleet.Member
	metrics metrics.Registry
	servers servers
	store   storeView
	parts   parts
	// cancel ends the loops; nil before Start.
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// storeView is what the router follows in the platform's store. Each part
// guards its own state.
type storeView struct {
	documents *config.Follower
	members   *fleet.Registry
}

// parts serve requests, pay for them and charge them. Each guards its own
// state.
type parts struct {
	client  *fleet.Client
	agent   *budget.Agent
	ledger  *bill.Ledger
	sender  *bill.Sender
	gate    *gate.Gate
	table   *route.Table
	burn    *report.Recorder
	orphans *orphan.Settler
}

// New opens the addresses of a router, builds its parts and answers other
// routers. Callers and operators are served from Start on. It panics if the
// settings lack the router or the store; its errors name the address or the
// key that can't be used.
func New(s Settings) (*Router, error) {
	if s.Router == nil || s.Store == nil {
		panic("router: a setting is missing")
	}
	s.setDefaults()
	trust, err := s.Router.TrustedKeys()
	if err != nil {
		return nil, err
	}
	r := &Router{settings: s, trust: trust, metrics: metrics.NewRegistry()}
	if err := r.servers.listen(s.Router.Listen); err != nil {
		return nil, err
	}
	r.self = fleet.Member{
		Box:         s.Router.Box,
		Incarnation: granitehoist.Incarnation(granitehoist.NewID(string(s.Router.Box)+"-", s.Random)),
		Partner:     s.Router.Partner,
		Region:      s.Router.Region,
		Zone:        s.Router.Zone,
		Peers:       r.servers.peersListener.Addr().String(),
	}
	r.build()
	r.loops.Go(r.servePeers)
	return r, nil
}

// setDefaults fills in the fields that may be nil.
func (s *Settings) setDefaults() {
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Random == nil {
		s.Random = rand.Reader
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
}

// logFailure logs a failed step. The router goes on, and most steps are tried again.
func (r *Router) logFailure(event string, err error) {
	r.settings.Log.Warn(event, zap.Error(err))
}

func (r *Router) failureLogger(event string) func(error) {
	return func(err error) { r.logFailure(event, err) }
}

// CallersAddress returns the address that callers reach.
func (r *Router) CallersAddress() string { return r.servers.callersListener.Addr().String() }

// AdminAddress returns the address that operators reach.
func (r *Router) AdminAddress() string { return r.servers.adminListener.Addr().String() }

// Incarnation returns the id of this run.
func (r *Router) Incarnation() granitehoist.Incarnation { return r.self.Incarnation }

// Partner returns the partner that runs the router.
func (r *Router) Partner() granitehoist.Partner { return r.self.Partner }

// Zone returns the availability zone of the router's box.
func (r *Router) Zone() granitehoist.AvailabilityZone { return r.self.Zone }

// View returns the documents in force.
func (r *Router) View() *config.View { return r.store.documents.View() }
