// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/httpserver"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/router"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/standin"
)

// zones lists the availability zones of each region.
var zones = map[granitehoist.Region][]granitehoist.AvailabilityZone{
	Tuul: {"ulaan-hall", "zaisan-hall", "gachuurt"},
	Lima: {"miraflores", "callao", "ate", "surco"},
}

// Sizes and times of a fleet.
const (
	// routersPerZone is the number of routers of each availability zone.
	routersPerZone = 2
	// enginesPerPool is the number of engines of each service, one per entry of
	// engineFaults.
	enginesPerPool = 3
	// plainPerService is the number of processes of each plain service.
	plainPerService = 2
	// readinessDelay is how long a stopping router still serves while reporting not ready.
	readinessDelay = 50 * time.Millisecond
	// inForcePollInterval is the interval of checks of a router's documents.
	inForcePollInterval = 5 * time.Millisecond
)

// Fleet is the whole system in one process: the stand-ins, and the routers of both partners
// with their documents. It is created by NewFleet.
type Fleet struct {
	Store *standin.Store
	// Routers are the ready routers. Only load changes them, under mu.
	Routers []*router.Router
	mu      sync.Mutex

	// killed holds the killed routers, and stops counts the planned stops. Only load
	// changes both, except for stops.failures.
	killed []*router.Router
	stops  stops

	// The fields below do not change after NewFleet. servers are the servers of the stand-ins.
	engines   []*standin.Engine
	plain     []*standin.Plain
	servers   []*httpserver.Server
	documents map[granitehoist.Partner]*config.Document
	keys      map[granitehoist.Partner]ed25519.PrivateKey
	trust     []settings.Trust
	storeURL  string
	log       *zap.Logger
}

// FleetSettings configure a Fleet. The zero value selects engines without delay and no log.
type FleetSettings struct {
	// Listen is the callers' address of the first router; empty selects a free port.
	Listen string
	// Log receives the routers' log; nil discards it.
	Log *zap.Logger
	// Engines configures the delays of the engines.
	Engines standin.EngineSettings
}

// NewFleet starts the stand-ins and the routers, and waits until all routers have applied
// the documents.
func NewFleet(ctx context.Context, ss FleetSettings) (*Fleet, error) {
	f := &Fleet{
		Store:     standin.NewStore(standin.StoreSettings{}),
		documents: map[granitehoist.Partner]*config.Document{Tuul: tuulDocument(), Lima: limaDocument()},
		keys:      map[granitehoist.Partner]ed25519.PrivateKey{},
		log:       ss.Log,
	}
	if f.log == nil {
		f.log = zap.NewNop()
	}
	defaults.Set(&ss.Listen, anyPort)
	if err := f.startStandins(ss.Engines); err != nil {
		return nil, err
	}
	if err := f.makeKeys(); err != nil {
		return nil, err
	}
	if err := f.startRouters(ss.Listen); err != nil {
		return nil, err
	}
	for _, partner := range partners {
		if err := f.apply(ctx, partner); err != nil {
			return nil, err
		}
	}
	return f, f.waitInForce(ctx, f.Routers...)
}

// standinHeaderTimeout limits the reading of a request's header by a stand-in.
const standinHeaderTimeout = time.Minute

// serve starts a handler on a free loopback port and returns its URL.
func (f *Fleet) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "trial: stand-in")
	}
	server := httpserver.New(httpserver.Settings{
		Handler:       h,
		HeaderTimeout: standinHeaderTimeout,
		// The stand-ins abort responses on purpose, so these errors are expected.
		OnError: func(error) {},
	}, listener)
	f.servers = append(f.servers, server)
	// Serve returns after Close. If it fails earlier, the routers see a stand-in that
	// refuses connections, and Verify counts the effects.
	go func() { _ = server.Serve() }()
	return "http://" + listener.Addr().String(), nil
}

// makeKeys generates each partner's signing key and adds it to the keys that the routers
// trust.
func (f *Fleet) makeKeys() error {
	for _, partner := range partners {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return eris.Wrap(err, "trial: keys")
		}
		f.keys[partner] = private
		f.trust = append(f.trust, settings.Trust{Partner: partner, Keys: []string{base64.StdEncoding.EncodeToString(public)}})
	}
	return nil
}

// apply signs a partner's document and writes it to the store.
func (f *Fleet) apply(ctx context.Context, partner granitehoist.Partner) error {
	text, err := toml.Marshal(f.documents[partner])
	if err != nil {
		return eris.Wrap(err, "trial: document")
	}
	signed := config.Signed{Partner: partner, Text: string(text), Serial: 1, ChangeID: granitehoist.NewID("c", rand.Reader)}
	signed.Sign(f.keys[partner])
	raw, err := json.Marshal(signed)
	if err != nil {
		return eris.Wrap(err, "trial: document")
	}
	trust := config.Trust{partner: {f.keys[partner].Public().(ed25519.PublicKey)}}
	_, err = config.Apply(ctx, f.Store, trust, raw)
	return err
}

// Close kills the routers and closes the servers of the stand-ins.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Kill()
	}
	for _, server := range f.servers {
		server.Close()
	}
}
