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
	// Router holds the settings of the box. They must not be changed after New.
	Router *settings.Router
	// Store is the platform's store.
	Store granitehoist.Store
	// Platform provides the list of boxes. If it is nil, upstreams on leaving boxes get
	// requests until they reject them, and no router is considered removed.
	Platform granitehoist.Platform
	// Clock returns the current time; nil means time.Now.
	Clock granitehoist.Clock
	// Random is the source of identifiers; nil means crypto/rand.Reader.
	Random io.Reader
	// Log receives log events; nil discards them.
	Log *zap.Logger
}

// Router is one router process: its servers, its view of the store and the components
// that serve requests. One goroutine must call New, Start, and Stop or Kill in this order;
// the other methods are safe for concurrent use.
type Router struct {
	settings Settings
	// trust holds the decoded public keys of Settings.Router.
	trust config.Trust
	// self is the router's entry in the fleet, immutable after New.
	self       fleet.Member
	metrics    metrics.Registry
	servers    servers
	store      storeView
	components components
	// cancel ends the goroutines that Start runs; nil before Start.
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// storeView holds the components that follow the platform's store. Each guards its own
// state.
type storeView struct {
	documents *config.Follower
	members   *fleet.Registry
}

// components holds the components that serve and charge requests. Each guards its own
// state.
type components struct {
	client  *fleet.Client
	agent   *budget.Agent
	ledger  *bill.Ledger
	sender  *bill.Sender
	gate    *gate.Gate
	table   *route.Table
	burn    *report.Recorder
	orphans *orphan.Settler
}

// New opens the listeners of a router, builds its components and begins to serve other
// routers. Callers and operators are served from Start on. It panics if Settings.Router or
// Settings.Store is nil. Its errors name the address that can't be opened or the key that
// is invalid.
func New(s Settings) (*Router, error) {
	if s.Router == nil || s.Store == nil {
		panic("router: Settings.Router or Settings.Store is nil")
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
		PeerAddress: r.servers.peersListener.Addr().String(),
	}
	r.build()
	r.goroutines.Go(r.servePeers)
	return r, nil
}

// setDefaults replaces optional fields that are nil by their defaults.
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

// logFailure logs an error that does not stop the router; most operations are retried.
func (r *Router) logFailure(event string, err error) {
	r.settings.Log.Warn(event, zap.Error(err))
}

// failureLogger returns a function that logs errors under an event name.
func (r *Router) failureLogger(event string) func(error) {
	return func(err error) { r.logFailure(event, err) }
}

// CallersAddress returns the listen address for callers.
func (r *Router) CallersAddress() string { return r.servers.callersListener.Addr().String() }

// AdminAddress returns the listen address for operators.
func (r *Router) AdminAddress() string { return r.servers.adminListener.Addr().String() }

// Incarnation returns the id of this run of the router.
func (r *Router) Incarnation() granitehoist.Incarnation { return r.self.Incarnation }

// Partner returns the partner that runs the router.
func (r *Router) Partner() granitehoist.Partner { return r.self.Partner }

// Zone returns the availability zone of the router's box.
func (r *Router) Zone() granitehoist.AvailabilityZone { return r.self.Zone }

// View returns the documents in force.
func (r *Router) View() *config.View { return r.store.documents.View() }
