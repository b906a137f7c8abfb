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

// fakeFunds pays whatever is asked, and keeps the books.
type fakeFunds struct {
	mu       sync.Mutex
	outcome  escrow.Outcome
	reserved granitehoist.Tokens
	used     granitehoist.Tokens
	// reserving, if set, is called during each reservation.
	reserving func()
}

func (f *fakeFunds) Reserve(_ context.Context, _ granitehoist.Workspace, bound granitehoist.Tokens, _ granitehoist.Priority) escrow.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reserving != nil {
		f.reserving()
	}
	if f.outcome == escrow.Granted {
		f.reserved += bound
	}
	return escrow.Answer{Outcome: f.outcome}
}

func (f *fakeFunds) Settle(_ granitehoist.Workspace, bound, used granitehoist.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved -= bound
	f.used += used
}

// fakeSink keeps an answer.
type fakeSink struct {
	mu     sync.Mutex
	status int
	header http.Header
	body   strings.Builder
	gone   bool
}

func (s *fakeSink) Start(status int, header http.Header) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.header = status, header
	return nil
}

func (s *fakeSink) Write(piece []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return errors.New("gone")
	}
	s.body.Write(piece)
	return nil
}

func (s *fakeSink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body.String()
}

// site is a Forwarder before workers over real sockets.
type site struct {
	forwarder *forward.Forwarder
	// settings are the forwarder's.
	settings forward.Settings
	table    *balance.Table
	funds    *fakeFunds
	current  *catalog.Current
	workers  []*standin.Worker
}

func newSite() *site {
	s := &site{funds: &fakeFunds{}, current: &catalog.Current{}, table: balance.New(balance.Settings{Seed: 1})}
	document := &catalog.Document{
		Revision: 1,
		Keyed:    true,
		Routes: []catalog.Route{
			route("resume", "/resume/", catalog.Stream, model, 2, true),
			route("stream", "/stream/", catalog.Stream, model, 1, false),
			route("safe", "/safe/", catalog.Safe, desk, 2, false),
			patientRoute(),
			route("unsafe", "/unsafe/", catalog.Unsafe, desk, 1, false),
		},
		Services:   []catalog.Service{{Name: model, TokensPerEvent: tokens}, {Name: desk}},
		Workspaces: []catalog.Workspace{{Name: tenant, Keys: []string{key}, Prepaid: prepaid, Limited: true}},
	}
	snapshot, err := catalog.Build(document, 7)
	Expect(err).NotTo(HaveOccurred())
	s.current.Offer(snapshot)
	s.settings = forward.Settings{
		Catalog: s.current, Funds: s.funds, Table: s.table, Codec: platform.Codec{},
		Pool:  exchange.NewPool(exchange.Settings{}),
		Retry: forward.RetrySettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	}
	s.forwarder = forward.New(s.settings)
	return s
}

// suspects makes the forwarder anew, with a table of suspect requests.
func (s *site) suspects(table *suspect.Table) {
	s.settings.Suspects = table
	s.forwarder = forward.New(s.settings)
}

func route(name, prefix string, kind catalog.Kind, service granitehoist.Service, attempts int, resume bool) catalog.Route {
	return catalog.Route{
		Name: catalog.RouteName(name), Host: "h.example", Prefix: prefix, Kind: kind, MaxAttempts: attempts, Resume: resume,
		Timeout: 5 * time.Second, Target: 400 * time.Millisecond, Split: []catalog.Share{{Service: service, Weight: 1}},
	}
}

// patientRoute is a safe route on which no attempt gives way to another.
func patientRoute() catalog.Route {
	r := route("patient", "/patient/", catalog.Safe, desk, 2, false)
	r.Target = 0
	r.Timeout = stepTimeout
	return r
}

// worker adds a worker of a service.
func (s *site) worker(service granitehoist.Service, instance string, answer func(standin.Arrival) standin.WorkerAnswer) *standin.Worker {
	w, err := standin.NewWorker(instance, answer)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Close)
	s.table.Announce(balance.Instance{ID: granitehoist.Upstream(instance), Service: service, Address: w.Address(), Version: 1}, time.Now())
	s.workers = append(s.workers, w)
	return w
}

// arrivals returns all requests that reached workers.
func (s *site) arrivals() []standin.Arrival {
	var all []standin.Arrival
	for _, w := range s.workers {
		all = append(all, w.Arrivals()...)
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
		r.Cost = &forward.Cost{Prompt: 100, Output: 200}
	}
	return r
}

// always returns the same answer to each request.
func always(a standin.WorkerAnswer) func(standin.Arrival) standin.WorkerAnswer {
	return func(standin.Arrival) standin.WorkerAnswer { return a }
}

// events returns the text of a whole stream.
func events(count int) string {
	var text strings.Builder
	for n := 1; n <= count; n++ {
		text.WriteString(standin.StreamEvent("r-1", n))
	}
	return text.String()
}
