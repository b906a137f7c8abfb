// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/suspect"
)

const (
	model   = granitehoist.Service("pool")
	desk    = granitehoist.Service("desk")
	tenant  = granitehoist.Workspace("kiosk")
	key     = "a-key"
	tokens  = granitehoist.Tokens(5)
	prepaid = granitehoist.Tokens(100_000)
)

// fakeBudgets grants every reservation unless outcome is set, and totals the tokens.
type fakeBudgets struct {
	mu       sync.Mutex
	outcome  escrow.Outcome
	reserved granitehoist.Tokens
	used     granitehoist.Tokens
	// reserving, if set, is called during each reservation.
	reserving func()
}

func (f *fakeBudgets) Reserve(_ context.Context, _ granitehoist.Workspace, maxCost granitehoist.Tokens, _ granitehoist.Priority) escrow.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reserving != nil {
		f.reserving()
	}
	if f.outcome == escrow.Granted {
		f.reserved += maxCost
	}
	return escrow.Answer{Outcome: f.outcome}
}

func (f *fakeBudgets) Settle(_ granitehoist.Workspace, maxCost, used granitehoist.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved -= maxCost
	f.used += used
}

// fakeSink records a response.
type fakeSink struct {
	mu           sync.Mutex
	status       int
	header       http.Header
	body         strings.Builder
	disconnected bool
}

func (s *fakeSink) Start(status int, header http.Header) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.header = status, header
	return nil
}

func (s *fakeSink) Write(part []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected {
		return errors.New("caller disconnected")
	}
	s.body.Write(part)
	return nil
}

func (s *fakeSink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body.String()
}

// fixture is a Forwarder in front of workers with real sockets.
type fixture struct {
	forwarder *forward.Forwarder
	// settings are those of forwarder.
	settings forward.Settings
	table    *balance.Table
	budgets  *fakeBudgets
	current  *catalog.Current
	workers  []*standin.Worker
}

func newFixture() *fixture {
	s := &fixture{budgets: &fakeBudgets{}, current: &catalog.Current{}, table: balance.New(balance.Settings{Seed: 1})}
	s.offer(7, func(*catalog.Document) {})
	s.settings = forward.Settings{
		Catalog: s.current, Budgets: s.budgets, Table: s.table, Codec: platform.Codec{},
		Pool:  exchange.NewPool(exchange.Settings{}),
		Retry: forward.RetrySettings{Ratio: 0.2, Burst: 50, Window: 10 * time.Second},
	}
	s.forwarder = forward.New(s.settings)
	return s
}

// offer puts a version of the configuration in force: testDocument with a change.
func (s *fixture) offer(version granitehoist.Version, change func(*catalog.Document)) {
	document := testDocument()
	change(document)
	snapshot, err := catalog.Build(document, version)
	Expect(err).NotTo(HaveOccurred())
	s.current.Offer(snapshot)
}

func testDocument() *catalog.Document {
	return &catalog.Document{
		Revision:   1,
		RequireKey: true,
		Routes: []catalog.Route{
			route("resume", "/resume/", catalog.Stream, model, 2, true),
			route("stream", "/stream/", catalog.Stream, model, 1, false),
			route("safe", "/safe/", catalog.Safe, desk, 2, false),
			routeWithoutStallLimit(),
			route("unsafe", "/unsafe/", catalog.Unsafe, desk, 1, false),
		},
		Services:   []catalog.Service{{Name: model, TokensPerEvent: tokens}, {Name: desk}},
		Workspaces: []catalog.Workspace{{Name: tenant, Keys: []string{key}, Prepaid: prepaid, Limited: true}},
	}
}

// useSuspects replaces the forwarder by one with a table of suspect requests.
func (s *fixture) useSuspects(table *suspect.Table) {
	s.settings.Suspects = table
	s.forwarder = forward.New(s.settings)
}

func route(name, prefix string, kind catalog.RouteKind, service granitehoist.Service, attempts int, resume bool) catalog.Route {
	return catalog.Route{
		Name: catalog.RouteName(name), Host: "h.example", Prefix: prefix, Kind: kind, MaxAttempts: attempts, Resume: resume,
		Timeout: 5 * time.Second, TargetLatency: 400 * time.Millisecond, Split: []catalog.Share{{Service: service, Weight: 1}},
	}
}

// routeWithoutStallLimit returns a safe route without a latency target, on which a
// stalled attempt is not cancelled.
func routeWithoutStallLimit() catalog.Route {
	r := route("patient", "/patient/", catalog.Safe, desk, 2, false)
	r.TargetLatency = 0
	r.Timeout = stepTimeout
	return r
}

// worker adds a worker that serves an instance of a service.
func (s *fixture) worker(service granitehoist.Service, instance string, answer func(standin.ReceivedRequest) standin.WorkerResponse) *standin.Worker {
	w, err := standin.NewWorker(instance, answer)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Close)
	s.table.Announce(balance.Instance{ID: granitehoist.Upstream(instance), Service: service, Address: w.Address(), Version: 1}, time.Now())
	s.workers = append(s.workers, w)
	return w
}

// arrivals returns all requests that reached a worker.
func (s *fixture) arrivals() []standin.ReceivedRequest {
	var all []standin.ReceivedRequest
	for _, w := range s.workers {
		all = append(all, w.Requests()...)
	}
	return all
}

func request(path string) *forward.Request {
	r := &forward.Request{
		ID: "r-1", Host: "h.example", Method: http.MethodPost, Path: path, Target: path,
		Header: http.Header{"Attempt-Id": {"r-1"}}, Body: []byte("question"),
		Key: key, Arrived: time.Now(),
	}
	if strings.HasPrefix(path, "/resume/") || strings.HasPrefix(path, "/stream/") {
		r.MaxCost = &forward.Cost{Prompt: 100, Output: 200}
	}
	return r
}

// earlierRequest returns a request with another id than that of request. A connection that
// carried it may carry that one too.
func earlierRequest(path string) *forward.Request {
	r := request(path)
	r.ID = "r-0"
	r.Header.Set("Attempt-Id", string(r.ID))
	return r
}

// always returns a handler that gives the same answer to each request.
func always(a standin.WorkerResponse) func(standin.ReceivedRequest) standin.WorkerResponse {
	return func(standin.ReceivedRequest) standin.WorkerResponse { return a }
}

// events returns the body of a stream with count events.
func events(count int) string {
	var text strings.Builder
	for n := 1; n <= count; n++ {
		text.WriteString(standin.StreamEvent("r-1", n))
	}
	return text.String()
}
