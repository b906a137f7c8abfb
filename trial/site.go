// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/boxlist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/router"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

// The partners, which are also the regions of today.
const (
	Tuul = "tuul"
	Lima = "lima"
)

// Models offered by the partners.
const (
	TuulModel = "granite-8b"
	LimaModel = "asistente-7b"
)

// zones lists the availability zones of each region.
var zones = map[granitehoist.Region][]granitehoist.AvailabilityZone{
	Tuul: {"ulaan-hall", "zaisan-hall", "gachuurt"},
	Lima: {"miraflores", "callao", "ate", "surco"},
}

// Sizes of a trial site.
const (
	routersPerZone  = 2
	enginesPerPool  = 3
	plainPerService = 2
	// SmallBudget is what the workspace that runs out has.
	SmallBudget = 2500
	largeBudget = 50_000_000
	plainPrice  = 3
	maxOutput   = 64
	// unready is how long a stopping router still serves.
	unready = 50 * time.Millisecond
)

// Site is a whole system in one process.
type Site struct {
	Store   *standin.Store
	Engines map[granitehoist.Service][]*standin.Engine
	Plain   map[granitehoist.Service][]*standin.Plain
	// Routers are those that callers may use. Only the load changes them, under
	// mu.
	Routers []*router.Router
	mu      sync.Mutex

	// dead holds the routers that were killed.
	dead  []*router.Router
	trust []settings.Trust
	// stopped counts planned stops during the load, and stopFailures those that
	// left something undone.
	stopped      int
	stopping     sync.WaitGroup
	stopFailures atomic.Int64
	log          *zap.Logger
	engine       standin.EngineSettings
	servers      []*http.Server
	documents    map[granitehoist.Partner]*config.Document
	keys         map[granitehoist.Partner]ed25519.PrivateKey
	storeURL     string
}

// NewSite starts the stand-ins and the routers, and puts the documents in
// force on all of them. Listen is the callers' address of the first router;
// empty lets the system choose.
func NewSite(ctx context.Context, listen string, log *zap.Logger) (*Site, error) {
	return newSite(ctx, listen, log, standin.EngineSettings{FirstDelay: 2 * time.Millisecond, TokenDelay: 200 * time.Microsecond})
}

func newSite(ctx context.Context, listen string, log *zap.Logger, engines standin.EngineSettings) (*Site, error) {
	s := &Site{
		engine:    engines,
		Store:     standin.NewStore(standin.StoreSettings{}),
		Engines:   map[granitehoist.Service][]*standin.Engine{},
		Plain:     map[granitehoist.Service][]*standin.Plain{},
		log:       log,
		documents: map[granitehoist.Partner]*config.Document{},
		keys:      map[granitehoist.Partner]ed25519.PrivateKey{},
	}
	if err := s.startStandins(); err != nil {
		return nil, err
	}
	if err := s.startRouters(listen); err != nil {
		return nil, err
	}
	for _, partner := range []granitehoist.Partner{Tuul, Lima} {
		if err := s.apply(ctx, partner); err != nil {
			return nil, err
		}
	}
	return s, s.waitInForce(ctx)
}

// serve starts a handler on a free loopback port and returns its URL.
func (s *Site) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "trial: stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: zap.NewStdLog(zap.NewNop())}
	s.servers = append(s.servers, server)
	// Serve ends with the listener, which Close closes.
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (s *Site) startStandins() error {
	var err error
	if s.storeURL, err = s.serve(s.Store.Handler()); err != nil {
		return err
	}
	s.documents[Tuul] = tuulDocument()
	s.documents[Lima] = limaDocument()
	for partner, document := range s.documents {
		for _, service := range document.Services {
			if err := s.startService(partner, service); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Site) startService(partner granitehoist.Partner, service config.Service) error {
	count := plainPerService
	if service.Kind == config.KindEngine {
		count = enginesPerPool
	}
	at := zones[granitehoist.Region(partner)]
	for i := range count {
		address, err := s.serve(s.newUpstream(service))
		if err != nil {
			return err
		}
		d := s.documents[partner]
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name:    granitehoist.Upstream(fmt.Sprintf("%s-%d", service.Name, i+1)),
			Service: service.Name,
			Zone:    at[i%len(at)],
			Address: address,
			Box:     granitehoist.Box(fmt.Sprintf("%s-box-%d", service.Name, i+1)),
		})
	}
	return nil
}

func (s *Site) newUpstream(service config.Service) http.Handler {
	if service.Kind == config.KindEngine {
		engine := standin.NewEngine(s.engine)
		s.Engines[service.Name] = append(s.Engines[service.Name], engine)
		return engine.Handler()
	}
	plain := standin.NewPlain()
	s.Plain[service.Name] = append(s.Plain[service.Name], plain)
	return plain.Handler()
}

func (s *Site) startRouters(listen string) error {
	var trust []settings.Trust
	for _, partner := range []granitehoist.Partner{Tuul, Lima} {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return eris.Wrap(err, "trial: keys")
		}
		s.keys[partner] = private
		trust = append(trust, settings.Trust{Partner: partner, Keys: []string{base64.StdEncoding.EncodeToString(public)}})
	}
	s.trust = trust
	for _, partner := range []granitehoist.Partner{Tuul, Lima} {
		for _, zone := range zones[granitehoist.Region(partner)] {
			for i := range routersPerZone {
				r, err := s.startRouter(partner, zone, i, listen, trust)
				if err != nil {
					return err
				}
				s.Routers = append(s.Routers, r)
				listen = ""
			}
		}
	}
	return nil
}

const anyPort = "127.0.0.1:0"

func (s *Site) startRouter(partner granitehoist.Partner, zone granitehoist.AvailabilityZone, i int, listen string, trust []settings.Trust) (*router.Router, error) {
	if listen == "" {
		listen = anyPort
	}
	file := settings.Router{
		Partner: partner,
		Region:  granitehoist.Region(partner),
		Zone:    zone,
		Box:     granitehoist.Box(fmt.Sprintf("%s-%d", zone, i+1)),
		Store:   s.storeURL,
		Listen:  settings.Listen{Callers: listen, Peers: anyPort, Admin: anyPort},
		Trust:   trust,
		Limits:  settings.Limits{Unready: settings.Duration(unready)},
		Splits:  []settings.Split{{Partner: Tuul, Weigh: "refusals"}, {Partner: Lima, Weigh: "overspend"}},
	}
	text, err := toml.Marshal(file)
	if err != nil {
		return nil, eris.Wrap(err, "trial: settings")
	}
	parsed, faults := settings.Parse(string(file.Box), text)
	if len(faults) > 0 {
		return nil, faults
	}
	r, err := router.New(router.Settings{
		Router:   parsed,
		Store:    platform.NewStore(platform.StoreSettings{Address: s.storeURL}),
		Platform: boxlist.New(boxlist.Settings{Address: s.storeURL}),
		Log:      s.log.Named(string(file.Box)),
	})
	if err != nil {
		return nil, err
	}
	r.Start()
	return r, nil
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

func (s *Site) waitInForce(ctx context.Context) error {
	for {
		if s.inForce() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("trial: the documents did not come into force")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *Site) inForce() bool {
	for _, r := range s.Routers {
		if len(r.View().Serials()) < len(s.documents) {
			return false
		}
	}
	return true
}

// StopRouters stops all routers in good order.
func (s *Site) StopRouters(ctx context.Context) error {
	for _, r := range s.Routers {
		if err := r.Stop(ctx); err != nil {
			return err
		}
	}
	s.Routers = nil
	return nil
}

// Close ends what still runs.
func (s *Site) Close() {
	for _, r := range s.Routers {
		r.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// Key returns the trial's key of a workspace. A real key is random.
func Key(w granitehoist.Workspace) string { return "trial-key-" + string(w) }

func customer(d *config.Document, w granitehoist.Workspace, tokens granitehoist.Tokens) {
	hash := config.HashKey(Key(w))
	d.Workspaces = append(d.Workspaces, config.Workspace{Name: w})
	d.Budgets = append(d.Budgets, config.Budget{Workspace: w, Name: budgetName, Tokens: tokens})
	d.Keys = append(d.Keys, config.Key{Workspace: w, Budget: budgetName, SHA256: hex.EncodeToString(hash[:])})
}

const budgetName = "season"

func tuulDocument() *config.Document {
	d := &config.Document{
		Partner: Tuul,
		Services: []config.Service{
			{Name: "granite-pool", Kind: config.KindEngine, Models: []granitehoist.Model{TuulModel}, MaxOutput: maxOutput, DefaultOutput: maxOutput},
			{Name: "booking-desk", Kind: config.KindPlain, Price: plainPrice},
		},
		Policies: []config.Policy{
			{Name: "seasonal-work", Use: config.UseOwn, Permit: `workspace != "archive" || service == "booking-desk"`, Priority: `workspace == "lock-kiosks" ? 9 : priority`},
			{Name: "to-partner", Use: config.UseLend, Permit: `service == "granite-pool"`, Priority: "priority < 4 ? priority : 4"},
		},
	}
	customer(d, "lock-kiosks", largeBudget)
	customer(d, "booking-clerks", largeBudget)
	customer(d, "boat-club", SmallBudget)
	customer(d, "archive", largeBudget)
	return d
}

func limaDocument() *config.Document {
	d := &config.Document{
		Partner: Lima,
		Services: []config.Service{
			{Name: "asistente", Kind: config.KindEngine, Models: []granitehoist.Model{LimaModel}, MaxOutput: maxOutput, DefaultOutput: maxOutput},
			{Name: "estacion-api", Kind: config.KindPlain, Price: plainPrice, Once: true},
		},
		Policies: []config.Policy{
			{Name: "members", Use: config.UseOwn, Permit: "true", Priority: `workspace == "drivers" ? 9 : priority`},
			{Name: "to-partner", Use: config.UseLend, Permit: `service == "asistente" && workspace == "lock-kiosks"`, Priority: "3"},
		},
	}
	customer(d, "drivers", largeBudget)
	customer(d, "dispatch", largeBudget)
	customer(d, "accountants", largeBudget)
	return d
}

// NewQuietSite starts a site whose engines answer at once and without
// failures, for benchmarks.
func NewQuietSite(ctx context.Context) (*Site, error) {
	return newSite(ctx, "", zap.NewNop(), standin.EngineSettings{})
}
