// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate_test

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/gate"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/standin"
)

const (
	key      = "a-key"
	budgetID = granitehoist.BudgetID("tuul/kiosk/season")
)

// fakeFunds pays from one amount.
type fakeFunds struct {
	mu       sync.Mutex
	left     granitehoist.Tokens
	reserved granitehoist.Tokens
	fail     error
}

func (f *fakeFunds) Reserve(_ context.Context, _ granitehoist.BudgetID, bound granitehoist.Tokens) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return f.fail
	}
	if bound > f.left {
		return granitehoist.Errorf(granitehoist.BudgetExhausted, "")
	}
	f.left -= bound
	f.reserved += bound
	return nil
}

func (f *fakeFunds) Settle(_ granitehoist.BudgetID, bound, used granitehoist.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved -= bound
	f.left += bound - used
}

func (f *fakeFunds) state() (left, reserved granitehoist.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left, f.reserved
}

// fakeProtocol answers each call by the next of its steps, the last one again
// and again.
type fakeProtocol struct {
	mu    sync.Mutex
	steps []func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error)
	calls []granitehoist.Call
	// stopped is what Stop answers; nil stands for not known.
	stopped *granitehoist.Usage
}

func (f *fakeProtocol) Do(_ context.Context, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	f.mu.Lock()
	step := f.steps[min(len(f.calls), len(f.steps)-1)]
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	return step(c, sink)
}

func (f *fakeProtocol) Stop(context.Context, string, granitehoist.AttemptID) (granitehoist.Usage, bool) {
	if f.stopped == nil {
		return granitehoist.Usage{}, false
	}
	return *f.stopped, true
}

func (f *fakeProtocol) List(context.Context, string, string) ([]granitehoist.KnownAttempt, error) {
	return nil, nil
}

func (f *fakeProtocol) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// answers serves whole answers that cost 10 tokens.
func answers(_ granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	_ = sink.Start(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
	_ = sink.Write([]byte(`{"done":true}`))
	return granitehoist.Usage{Prompt: 4, Output: 6, Reported: true}, nil
}

// fails ends the call with a code before any answer.
func fails(code granitehoist.Code) func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error) {
	return func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error) {
		return granitehoist.Usage{}, granitehoist.Errorf(code, "")
	}
}

// breaks gives a part of an answer and fails.
func breaks(_ granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	_ = sink.Start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	_ = sink.Write([]byte("data: {\"part\":1}\n\n"))
	return granitehoist.Usage{}, granitehoist.Errorf(granitehoist.UpstreamCut, "")
}

func document() *config.Document {
	hash := config.HashKey(key)
	return &config.Document{
		Partner: "tuul",
		Services: []config.Service{
			{Name: "pool", Kind: config.KindEngine, Models: []granitehoist.Model{"m"}, MaxOutput: 100, DefaultOutput: 50},
			{Name: "desk", Kind: config.KindPlain, Price: 3},
			{Name: "gate", Kind: config.KindPlain, Price: 3, Once: true},
		},
		Upstreams: []config.Upstream{
			{Name: "p1", Service: "pool", Address: "http://127.0.0.1:1"},
			{Name: "p2", Service: "pool", Address: "http://127.0.0.1:2"},
			{Name: "p3", Service: "pool", Address: "http://127.0.0.1:3"},
			{Name: "d1", Service: "desk", Address: "http://127.0.0.1:4"},
			{Name: "d2", Service: "desk", Address: "http://127.0.0.1:5"},
			{Name: "g1", Service: "gate", Address: "http://127.0.0.1:6"},
			{Name: "g2", Service: "gate", Address: "http://127.0.0.1:7"},
		},
		Workspaces: []config.Workspace{{Name: "kiosk"}},
		Budgets:    []config.Budget{{Workspace: "kiosk", Name: "season", Tokens: 10_000}},
		Keys:       []config.Key{{Workspace: "kiosk", Budget: "season", SHA256: hex.EncodeToString(hash[:])}},
		Policies:   []config.Policy{{Name: "p", Use: config.UseOwn, Permit: `prompt_size < 5000`}},
	}
}

// site is a gate between fakes.
type site struct {
	settings gate.Settings
	gate     *gate.Gate
	funds    *fakeFunds
	engine   *fakeProtocol
	plain    *fakeProtocol
	ledger   *bill.Ledger
	store    *standin.Store
	view     *config.View
}

func newSite() *site {
	s := &site{
		funds:  &fakeFunds{left: 10_000},
		engine: &fakeProtocol{steps: []func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error){answers}},
		plain:  &fakeProtocol{steps: []func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error){answers}},
		ledger: bill.NewLedger(bill.LedgerSettings{Incarnation: "box-1"}),
		store:  standin.NewStore(standin.StoreSettings{}),
		view:   config.NewView().With(document(), 1),
	}
	s.settings = gate.Settings{
		Zone:        "gachuurt",
		Incarnation: "box-1",
		View:        func() *config.View { return s.view },
		Funds:       s.funds,
		Ledger:      s.ledger,
		Once:        once.New(once.Settings{Store: s.store}),
		Table:       route.NewTable(route.Settings{}),
		Protocols:   map[config.Kind]granitehoist.Protocol{config.KindEngine: s.engine, config.KindPlain: s.plain},
		Clock:       time.Now,
		Random:      rand.Reader,
		Log:         zap.NewNop(),
		Metrics:     metrics.NewRegistry(),
		Limits:      gate.Limits{BodyBytes: 10_000},
	}
	s.gate = gate.New(s.settings)
	return s
}

// answer is an answer of the gate.
type answer struct {
	status int
	header http.Header
	body   string
	code   granitehoist.Code
	fate   granitehoist.Fate
}

func (s *site) send(method, path, body string, headers ...string) answer {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		// The gate cuts a broken answer off by this panic, as net/http asks.
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		s.gate.ServeHTTP(w, r)
	}()
	s.gate.Wait()
	t := answer{status: w.Code, header: w.Header(), body: w.Body.String(), code: granitehoist.Served, fate: granitehoist.Ran}
	var failure gate.Failure
	if json.Unmarshal(w.Body.Bytes(), &failure) == nil && failure.Error.Code != 0 {
		t.code, t.fate = granitehoist.Code(failure.Error.Code), failure.Error.Fate
	}
	return t
}

const goodBody = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`

func (s *site) chat(body string, headers ...string) answer {
	return s.send(http.MethodPost, "/v1/chat/completions", body, headers...)
}
