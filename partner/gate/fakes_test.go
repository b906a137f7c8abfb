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

// fakeBudgets is a gate.Budgets with one amount of tokens for all budgets.
type fakeBudgets struct {
	mu        sync.Mutex
	available granitehoist.Tokens
	reserved  granitehoist.Tokens
	fail      error
}

func (f *fakeBudgets) Reserve(_ context.Context, _ granitehoist.BudgetID, bound granitehoist.Tokens) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return f.fail
	}
	if bound > f.available {
		return granitehoist.Errorf(granitehoist.BudgetExhausted, "")
	}
	f.available -= bound
	f.reserved += bound
	return nil
}

func (f *fakeBudgets) Settle(_ granitehoist.BudgetID, bound, used granitehoist.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved -= bound
	f.available += bound - used
}

func (f *fakeBudgets) state() (available, reserved granitehoist.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.available, f.reserved
}

// fakeProtocol handles each call with the next of its steps, and repeats the last one.
type fakeProtocol struct {
	mu    sync.Mutex
	steps []func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error)
	calls []granitehoist.Call
	// stopUsage is the usage that Stop returns; if nil, Stop returns false.
	stopUsage *granitehoist.Usage
}

func (f *fakeProtocol) Do(_ context.Context, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	f.mu.Lock()
	step := f.steps[min(len(f.calls), len(f.steps)-1)]
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	return step(c, sink)
}

func (f *fakeProtocol) Stop(context.Context, string, granitehoist.AttemptID) (granitehoist.Usage, bool) {
	if f.stopUsage == nil {
		return granitehoist.Usage{}, false
	}
	return *f.stopUsage, true
}

func (f *fakeProtocol) List(context.Context, string, string) ([]granitehoist.KnownAttempt, error) {
	return nil, nil
}

func (f *fakeProtocol) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// respondOK sends a complete response that costs 10 tokens.
func respondOK(_ granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	_ = sink.Start(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
	_ = sink.Write([]byte(`{"done":true}`))
	return granitehoist.Usage{Prompt: 4, Output: 6, Reported: true}, nil
}

// failWith returns a step that fails with a code before any response.
func failWith(code granitehoist.Code) func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error) {
	return func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error) {
		return granitehoist.Usage{}, granitehoist.Errorf(code, "")
	}
}

// failMidStream sends the first event of a stream and fails.
func failMidStream(_ granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
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

// fixture is a gate with fake budgets and protocols.
type fixture struct {
	settings gate.Settings
	gate     *gate.Gate
	budgets  *fakeBudgets
	engine   *fakeProtocol
	plain    *fakeProtocol
	ledger   *bill.Ledger
	store    *standin.Store
	view     *config.View
}

func newFixture() *fixture {
	s := &fixture{
		budgets: &fakeBudgets{available: 10_000},
		engine:  &fakeProtocol{steps: []func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error){respondOK}},
		plain:   &fakeProtocol{steps: []func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error){respondOK}},
		ledger:  bill.NewLedger(bill.LedgerSettings{Incarnation: "box-1"}),
		store:   standin.NewStore(standin.StoreSettings{}),
		view:    config.NewView().With(document(), 1),
	}
	s.settings = gate.Settings{
		Zone:        "gachuurt",
		Incarnation: "box-1",
		View:        func() *config.View { return s.view },
		Budgets:     s.budgets,
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

// gateResponse is a recorded response with the result code and execution status in its body.
type gateResponse struct {
	status    int
	header    http.Header
	body      string
	code      granitehoist.Code
	execution granitehoist.ExecutionStatus
}

func (s *fixture) send(method, path, body string, headers ...string) gateResponse {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		// The gate aborts an incomplete response with this panic, as net/http specifies.
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		s.gate.ServeHTTP(w, r)
	}()
	s.gate.Wait()
	got := gateResponse{status: w.Code, header: w.Header(), body: w.Body.String(), code: granitehoist.Served, execution: granitehoist.Ran}
	var failure gate.ErrorResponse
	if json.Unmarshal(w.Body.Bytes(), &failure) == nil && failure.Error.Code != 0 {
		got.code, got.execution = granitehoist.Code(failure.Error.Code), failure.Error.Execution
	}
	return got
}

const goodBody = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`

func (s *fixture) chat(body string, headers ...string) gateResponse {
	return s.send(http.MethodPost, "/v1/chat/completions", body, headers...)
}
