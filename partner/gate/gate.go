// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"net/http"
	"sync"
	"sync/atomic"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/retrybudget"
	"granitehoist.example/granitehoist/suspect"
)

// Gate serves the callers. It implements http.Handler and is safe for
// concurrent use.
type Gate struct {
	settings Settings
	mux      *http.ServeMux
	// attempts numbers the attempts of this run of the router.
	attempts atomic.Uint64
	unready  atomic.Bool
	draining atomic.Bool
	retries  *retrybudget.Budget
	targets  targetCache
	// suspects holds the evidence of this router against requests that crash upstreams,
	// and prober finds out whether an upstream is down.
	suspects *suspect.Table
	prober   *exchange.Pool
	// background counts the requests that are answered but whose cost is still
	// being asked for.
	background sync.WaitGroup
}

// New returns a gate. It panics if a required setting is missing.
func New(s Settings) *Gate {
	if !s.complete() {
		panic("gate: a setting is missing")
	}
	s.Limits.setDefaults()
	g := &Gate{
		settings: s,
		mux:      http.NewServeMux(),
		retries:  newRetryBudget(),
		suspects: suspect.New(suspect.Settings{}),
		prober:   exchange.NewPool(exchange.Settings{}),
	}
	g.suspects.SetSecret(suspect.NewSecret(s.Random))
	g.mux.HandleFunc("POST "+pathChat, g.serveCompletion)
	g.mux.HandleFunc("POST "+pathCompletions, g.serveCompletion)
	g.mux.HandleFunc("GET "+pathModels, g.serveModels)
	g.mux.HandleFunc(pathServices+"{service}/{path...}", g.servePlain)
	g.mux.HandleFunc("GET "+PathHealth, g.serveHealth)
	g.mux.HandleFunc("GET "+PathReady, g.serveReady)
	g.mux.HandleFunc("/", g.serveUnknown)
	return g
}

// Paths that callers may use.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathServices    = "/services/"
	// PathHealth answers as long as the process runs, and PathReady while it
	// takes requests.
	PathHealth = "/health"
	PathReady  = "/ready"
)

// Headers of requests and answers.
const (
	// HeaderRequest is the request id; the gate makes one if the caller sends
	// none, and every answer carries it.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is a number from 0 to 9; 9 is served first.
	HeaderPriority = "Granitehoist-Priority"
	// HeaderDeadline is the time that the request may take, in milliseconds.
	HeaderDeadline = "Granitehoist-Deadline-Ms"
	// HeaderOnce says "true" for a request that is not to be repeated.
	HeaderOnce = "Granitehoist-Once"
	// HeaderBudget names a budget of the workspace other than the key's own.
	HeaderBudget = "Granitehoist-Budget"
	// HeaderCode is the numbered result code of an answer.
	HeaderCode = "Granitehoist-Code"
	// HeaderFate says whether the request ran.
	HeaderFate = "Granitehoist-Fate"
)

// ServeHTTP implements http.Handler. Reading the body is bounded from here on,
// so that a refusal that comes before the body is read is bounded too: the
// standard library reads the remaining body before it answers.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limits := g.settings.Limits
	setReadDeadline(w, g.settings.Clock().Add(limits.ReadTimeout))
	if size := headerSize(r); size > limits.HeaderBytes {
		g.refuse(w, g.requestID(r), granitehoist.Errorf(granitehoist.HeaderTooLarge, "%d bytes, the limit is %d", size, limits.HeaderBytes))
		return
	}
	g.mux.ServeHTTP(w, r)
}

// headerSize returns the bytes of a request's line and headers.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Unready makes PathReady answer 503, so that balancers leave the router. The
// gate still takes requests.
func (g *Gate) Unready() { g.unready.Store(true) }

// Drain makes the gate unready and refuses new requests; those in progress
// continue.
func (g *Gate) Drain() { g.draining.Store(true) }

// Wait returns when the cost of every answered request is settled. It is
// called after the last request has been answered.
func (g *Gate) Wait() { g.background.Wait() }

// availability returns what decides whether the gate takes requests now.
func (g *Gate) availability() availability {
	return availability{
		unready:   g.unready.Load(),
		draining:  g.draining.Load(),
		documents: len(g.settings.View().Serials()),
	}
}
