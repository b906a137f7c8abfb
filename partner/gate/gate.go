// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/retrybudget"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/route"
)

// Funds pays for requests; budget.Agent implements it.
type Funds interface {
	// Reserve sets tokens aside, waiting for them as long as the budget's split
	// says. Its errors are *Error.
	Reserve(ctx context.Context, k granitehoist.BudgetID, bound granitehoist.Tokens) error
	// Settle ends a reservation with the use.
	Settle(k granitehoist.BudgetID, bound, used granitehoist.Tokens)
}

// Settings configure a Gate. All fields but Burn and
// the limits are needed.
type Settings struct {
	Zone        granitehoist.AvailabilityZone
	Incarnation granitehoist.Incarnation
	// View returns the documents in force.
	View      func() *config.View
	Funds     Funds
	Ledger    *bill.Ledger
	Once      *once.Registry
	Table     *route.Table
	Protocols map[config.Kind]granitehoist.Protocol
	Clock     granitehoist.Clock
	Random    io.Reader
	Log       *zap.Logger
	Metrics   metrics.Registry
	// Burn takes the counts of the burn report; nil goes without.
	Burn *report.Recorder
	// BodyBytes bounds a request's body; zero stands for 4 MiB.
	BodyBytes int64
	// HeaderBytes bounds a request's headers; zero stands for 32 KiB.
	HeaderBytes int
	// ReadTimeout bounds the reading of a body; zero stands for 10 seconds.
	ReadTimeout time.Duration
	// Request bounds a request without a deadline; zero stands for 5 minutes.
	Request time.Duration
}

const (
	defaultBodyBytes   = 4 << 20
	defaultHeaderBytes = 32 << 10
	defaultReadTimeout = 10 * time.Second
	defaultRequest     = 5 * time.Minute
)

// Gate is the callers' surface. It implements http.Handler.
type Gate struct {
	settings Settings
	mux      *http.ServeMux
	attempts atomic.Uint64
	unready  atomic.Bool
	draining atomic.Bool
	retries  *retrybudget.Budget
	prepared targetCache
	// background holds what goes on after the answer was given.
	background sync.WaitGroup
}

// New returns a gate. It panics if a needed setting is missing.
func New(s Settings) *Gate {
	if s.View == nil || s.Funds == nil || s.Ledger == nil || s.Once == nil || s.Table == nil || s.Protocols == nil || s.Clock == nil || s.Random == nil || s.Log == nil || s.Metrics == nil || s.Incarnation == "" {
		panic("gate: a setting is missing")
	}
	defaults.Set(&s.BodyBytes, defaultBodyBytes)
	defaults.Set(&s.HeaderBytes, defaultHeaderBytes)
	defaults.Set(&s.ReadTimeout, defaultReadTimeout)
	defaults.Set(&s.Request, defaultRequest)
	g := &Gate{settings: s, mux: http.NewServeMux(), retries: newRetryBudget()}
	g.mux.HandleFunc("POST "+pathChat, g.serveCompletion)
	g.mux.HandleFunc("POST "+pathCompletions, g.serveCompletion)
	g.mux.HandleFunc("GET "+pathModels, g.serveModels)
	g.mux.HandleFunc(pathServices+"{service}/{path...}", g.servePlain)
	g.mux.HandleFunc("GET "+PathHealth, g.serveHealth)
	g.mux.HandleFunc("GET "+PathReady, g.serveReady)
	g.mux.HandleFunc("/", g.serveNothing)
	return g
}

// Paths of the callers' surface.
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

// Headers of the callers' surface.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderPriority = "Granitehoist-Priority"
	HeaderDeadline = "Granitehoist-Deadline-Ms"
	HeaderOnce     = "Granitehoist-Once"
	HeaderBudget   = "Granitehoist-Budget"
	HeaderCode     = "Granitehoist-Code"
	HeaderFate     = "Granitehoist-Fate"
)

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	setReadDeadline(w, g.settings.Clock().Add(g.settings.ReadTimeout))
	if size := headerSize(r); size > g.settings.HeaderBytes {
		g.refuse(w, g.requestID(r), granitehoist.Errorf(granitehoist.HeaderTooLarge, "%d bytes, the limit is %d", size, g.settings.HeaderBytes))
		return
	}
	g.mux.ServeHTTP(w, r)
}

// Unready makes the gate say that it is not ready; it still takes requests.
func (g *Gate) Unready() { g.unready.Store(true) }

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

// Drain makes the gate unready and refuses new requests; those in progress go
// on.
func (g *Gate) Drain() { g.draining.Store(true) }

// Wait returns when nothing goes on in the background. It is called when the
// last request has been answered.
func (g *Gate) Wait() { g.background.Wait() }

func (g *Gate) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "alive\n")
}

func (g *Gate) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.unready.Load() || g.draining.Load():
		writeText(w, http.StatusServiceUnavailable, "draining\n")
	case len(g.settings.View().Serials()) == 0:
		writeText(w, http.StatusServiceUnavailable, "no documents yet\n")
	default:
		writeText(w, http.StatusOK, "ready\n")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A reader that has gone is no failure.
	_, _ = io.WriteString(w, text)
}

func (g *Gate) serveNothing(w http.ResponseWriter, r *http.Request) {
	code := granitehoist.NotFound
	switch r.URL.Path {
	case pathChat, pathCompletions, pathModels:
		code = granitehoist.MethodNotAllowed
	}
	g.refuse(w, g.requestID(r), granitehoist.Errorf(code, "%s %s", r.Method, r.URL.Path))
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      granitehoist.Model   `json:"id"`
	Object  string               `json:"object"`
	OwnedBy granitehoist.Partner `json:"owned_by"`
}

func (g *Gate) serveModels(w http.ResponseWriter, r *http.Request) {
	view := g.settings.View()
	identity, err := identify(view, r)
	if err != nil {
		g.refuse(w, g.requestID(r), err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, offer := range view.Offers(identity.Partner) {
		for _, model := range offer.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: offer.Owner})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

const (
	bearer       = "Bearer "
	maxRequestID = 128
)

// identify returns whom a request's key stands for.
func identify(view *config.View, r *http.Request) (config.Identity, error) {
	given := r.Header.Get("Authorization")
	if given == "" {
		return config.Identity{}, granitehoist.Errorf(granitehoist.MissingKey, `send it as "Authorization: Bearer KEY"`)
	}
	key, ok := strings.CutPrefix(given, bearer)
	if !ok {
		return config.Identity{}, granitehoist.Errorf(granitehoist.MissingKey, `send it as "Authorization: Bearer KEY"`)
	}
	identity, ok := view.Identity(config.HashKey(strings.TrimSpace(key)))
	if !ok {
		return config.Identity{}, granitehoist.Errorf(granitehoist.WrongKey, "")
	}
	return identity, nil
}

// requestID returns the caller's request id, or a new one.
func (g *Gate) requestID(r *http.Request) granitehoist.RequestID {
	id := r.Header.Get(HeaderRequest)
	if validRequestID(id) {
		return granitehoist.RequestID(id)
	}
	return granitehoist.RequestID(granitehoist.NewID("r", g.settings.Random))
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// readBody reads a request's body within the size limit and the read deadline
// that ServeHTTP has set. The deadline is lifted only when the body is whole:
// the standard library reads what is left of a body before it answers, and
// would wait for a slow caller without end.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.settings.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, granitehoist.Errorf(granitehoist.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, granitehoist.Wrap(granitehoist.SlowCaller, err, "")
	}
	setReadDeadline(w, time.Time{})
	return body, nil
}

func setReadDeadline(w http.ResponseWriter, at time.Time) {
	// A writer that can't set deadlines is one of a test.
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// wishes is what a caller's headers ask for.
type wishes struct {
	priority granitehoist.Priority
	deadline time.Duration
	once     bool
	budget   string
}

// MaxDeadline bounds the deadline that a caller may name.
const MaxDeadline = 24 * time.Hour

func (g *Gate) readWishes(r *http.Request) (wishes, error) {
	w := wishes{priority: granitehoist.DefaultPriority, deadline: g.settings.Request, budget: r.Header.Get(HeaderBudget)}
	if text := r.Header.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < int(granitehoist.MinPriority) || n > int(granitehoist.MaxPriority) {
			return w, granitehoist.Errorf(granitehoist.BadHeader, "%s is a number from %d to %d", HeaderPriority, granitehoist.MinPriority, granitehoist.MaxPriority)
		}
		w.priority = granitehoist.Priority(n)
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n <= 0 || n > MaxDeadline.Milliseconds() {
			return w, granitehoist.Errorf(granitehoist.BadHeader, "%s is a number of milliseconds from 1 to %d", HeaderDeadline, MaxDeadline.Milliseconds())
		}
		w.deadline = time.Duration(n) * time.Millisecond
	}
	if text := r.Header.Get(HeaderOnce); text != "" {
		once, err := strconv.ParseBool(text)
		if err != nil {
			return w, granitehoist.Errorf(granitehoist.BadHeader, `%s is "true" or "false"`, HeaderOnce)
		}
		w.once = once
	}
	if id := r.Header.Get(HeaderRequest); id != "" && !validRequestID(id) {
		return w, granitehoist.Errorf(granitehoist.BadHeader, "%s is 1 to %d printable characters without spaces, quotes and backslashes", HeaderRequest, maxRequestID)
	}
	return w, nil
}
