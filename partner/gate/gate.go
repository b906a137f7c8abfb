// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"net/http"
	"sync"
	"sync/atomic"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/internal/retrybudget"
	"granitehoist.example/granitehoist/suspect"
)

// Gate is the HTTP handler for callers. It is safe for concurrent use.
type Gate struct {
	// bodyMemory is shared by the bodies of requests.
	bodyMemory *readlimit.Memory
	settings   Settings
	mux        *http.ServeMux
	// attempts counts the attempts of this incarnation. Each attempt's id contains its number.
	attempts atomic.Uint64
	unready  atomic.Bool
	draining atomic.Bool
	retries  *retrybudget.Budget
	targets  targetCache
	// crashTable records the requests under which upstreams crashed. prober checks whether
	// an upstream is down.
	crashTable *suspect.Table
	prober     *exchange.Pool
	// background counts the requests whose response is sent but whose cost is not settled.
	background sync.WaitGroup
}

// New returns a gate. It panics if a required setting is missing.
func New(s Settings) *Gate {
	if !s.complete() {
		panic("gate: a required field of Settings is missing")
	}
	s.Limits.setDefaults()
	g := &Gate{
		settings:   s,
		mux:        http.NewServeMux(),
		retries:    newRetryBudget(),
		bodyMemory: readlimit.NewMemory(bodyMemory),
		crashTable: suspect.New(suspect.Settings{}),
		prober:     exchange.NewPool(exchange.Settings{}),
	}
	g.crashTable.SetSecret(suspect.NewSecret(s.Random))
	g.mux.HandleFunc("POST "+pathChat, g.serveCompletion)
	g.mux.HandleFunc("POST "+pathCompletions, g.serveCompletion)
	g.mux.HandleFunc("GET "+pathModels, g.serveModels)
	g.mux.HandleFunc(pathServices+"{service}/{path...}", g.servePlain)
	g.mux.HandleFunc("GET "+PathHealth, g.serveHealth)
	g.mux.HandleFunc("GET "+PathReady, g.serveReady)
	g.mux.HandleFunc("/", g.serveUnknown)
	return g
}

// Paths of the API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathServices    = "/services/"
	// PathHealth responds with 200 while the process runs.
	PathHealth = "/health"
	// PathReady responds with 200 if the router is ready, and with 503 before the first
	// document and during a stop.
	PathReady = "/ready"
)

// Headers of requests and responses.
const (
	// HeaderRequest is the request id. The gate generates one if the caller sends none, and
	// every response has it.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is a number from 0 to 9; larger numbers are served first.
	HeaderPriority = "Granitehoist-Priority"
	// HeaderDeadline is the timeout of the request in milliseconds.
	HeaderDeadline = "Granitehoist-Deadline-Ms"
	// HeaderOnce is "true" for a request that is not to be repeated.
	HeaderOnce = "Granitehoist-Once"
	// HeaderBudget names a budget of the workspace to use instead of the budget of the key.
	HeaderBudget = "Granitehoist-Budget"
	// HeaderCode is the numbered result code of a response.
	HeaderCode = "Granitehoist-Code"
	// HeaderExecution says whether the request ran.
	HeaderExecution = "Granitehoist-Fate"
)

// ServeHTTP implements http.Handler. It sets the read deadline first, so that the deadline
// also applies to a refusal before the body is read: net/http reads the rest of the body
// before it responds.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limits := g.settings.Limits
	setReadDeadline(w, g.settings.Clock().Add(limits.ReadTimeout))
	if size := headerSize(r); size > limits.HeaderBytes {
		g.refuse(w, g.requestID(r), granitehoist.Errorf(granitehoist.HeaderTooLarge, "%d bytes, the limit is %d", size, limits.HeaderBytes))
		return
	}
	g.mux.ServeHTTP(w, r)
}

// headerSize returns the size of the request line and headers in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// MarkUnready makes PathReady respond with 503, so that load balancers stop sending
// requests. The gate still accepts requests.
func (g *Gate) MarkUnready() { g.unready.Store(true) }

// Drain makes the gate unready and refuses new requests. Requests in progress continue.
func (g *Gate) Drain() { g.draining.Store(true) }

// Wait blocks until the cost of each request is settled. It must be called after the last
// response has been sent.
func (g *Gate) Wait() { g.background.Wait() }

// availability returns the current state of the gate.
func (g *Gate) availability() availability {
	return availability{
		unready:   g.unready.Load(),
		draining:  g.draining.Load(),
		documents: len(g.settings.View().Serials()),
	}
}
