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

// Sizes of a trial site.
const (
	// routersPerZone makes fourteen routers in seven availability zones.
	routersPerZone = 2
	// enginesPerPool is one engine for each line of engineFaults.
	enginesPerPool = 3
	// plainPerService is the number of processes of each plain service.
	plainPerService = 2
	// unready is how long a stopping router still serves.
	unready = 50 * time.Millisecond
	// inForcePause is the time between two looks at a router's documents.
	inForcePause = 5 * time.Millisecond
)

// Site is a whole system in one process: the stand-ins, the routers of both
// partners and their documents. See NewSite.
type Site struct {
	Store *standin.Store
	// Routers are those that callers may use. Only the load changes them, under
	// mu.
	Routers []*router.Router
	mu      sync.Mutex

	// dead holds the routers that were killed, and stops counts the planned stops.
	// Only the load changes both, but for stops.failures.
	dead  []*router.Router
	stops stops

	// The fields from here on do not change after NewSite. servers are those of
	// the stand-ins.
	engines   []*standin.Engine
	plain     []*standin.Plain
	servers   []*httpserver.Server
	documents map[granitehoist.Partner]*config.Document
	keys      map[granitehoist.Partner]ed25519.PrivateKey
	trust     []settings.Trust
	storeURL  string
	log       *zap.Logger
}

// SiteSettings configure a Site. The zero value works: engines that answer at
// once, and no log.
type SiteSettings struct {
	// Listen is the callers' address of the first router; empty lets the
	// system choose.
	Listen string
	// Log takes the routers' events; nil discards them.
	Log *zap.Logger
	// Engines sets the pace of the engines.
	Engines standin.EngineSettings
}

// NewSite starts the stand-ins and the routers, and puts the documents in
// force on all of them.
func NewSite(ctx context.Context, ss SiteSettings) (*Site, error) {
	s := &Site{
		Store:     standin.NewStore(standin.StoreSettings{}),
		documents: map[granitehoist.Partner]*config.Document{Tuul: tuulDocument(), Lima: limaDocument()},
		keys:      map[granitehoist.Partner]ed25519.PrivateKey{},
		log:       ss.Log,
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	defaults.Set(&ss.Listen, anyPort)
	if err := s.startStandins(ss.Engines); err != nil {
		return nil, err
	}
	if err := s.makeKeys(); err != nil {
		return nil, err
	}
	if err := s.startRouters(ss.Listen); err != nil {
		return nil, err
	}
	for _, partner := range partners {
		if err := s.apply(ctx, partner); err != nil {
			return nil, err
		}
	}
	return s, s.waitInForce(ctx, s.Routers...)
}

// standinHeaderTimeout bounds the reading of a request's header at a stand-in.
const standinHeaderTimeout = time.Minute

// serve starts a handler on a free loopback port and returns its URL.
func (s *Site) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "trial: stand-in")
	}
	server := httpserver.New(httpserver.Settings{
		Handler:       h,
		HeaderTimeout: standinHeaderTimeout,
		// The stand-ins cut and cross answers on purpose.
		Failed: func(error) {},
	}, listener)
	s.servers = append(s.servers, server)
	// Serve ends with the listener, which Close closes. If it fails before, the
	// routers see a stand-in that refuses connections, and the trial's judge sees
	// what became of the requests.
	go func() { _ = server.Serve() }()
	return "http://" + listener.Addr().String(), nil
}

// makeKeys makes each partner's key, which signs its document, and lets the
// routers trust it.
func (s *Site) makeKeys() error {
	for _, partner := range partners {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return eris.Wrap(err, "trial: keys")
		}
		s.keys[partner] = private
		s.trust = append(s.trust, settings.Trust{Partner: partner, Keys: []string{base64.StdEncoding.EncodeToString(public)}})
	}
	return nil
}

// apply signs a partner's document and writes it through a router.
func (s *Site) apply(ctx context.Context, partner granitehoist.Partner) error {
	text, err := toml.Marshal(s.documents[partner])
	if err != nil {
		return eris.Wrap(err, "trial: document")
	}
	signed := config.Signed{Partner: partner, Text: string(text), Serial: 1, ChangeID: granitehoist.NewID("c", rand.Reader)}
	signed.Sign(s.keys[partner])
	raw, err := json.Marshal(signed)
	if err != nil {
		return eris.Wrap(err, "trial: document")
	}
	trust := config.Trust{partner: {s.keys[partner].Public().(ed25519.PublicKey)}}
	_, err = config.Apply(ctx, s.Store, trust, raw)
	return err
}

// Close ends what still runs.
func (s *Site) Close() {
	for _, r := range s.Routers {
		r.Kill()
	}
	for _, server := range s.servers {
		server.Close()
	}
}
