// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
)

// EngineSettings configure an Engine. The zero value adds no delays.
type EngineSettings struct {
	// TokenDelay is the time per output token after the first.
	TokenDelay time.Duration
	// FirstDelay is the time to the first output token.
	FirstDelay time.Duration
}

// EngineFaults are the faults that an Engine injects. A count n affects every n-th request;
// zero affects none.
type EngineFaults struct {
	// RefuseEvery returns status 503 without running the request.
	RefuseEvery int
	// CutEvery closes the connection in the middle of a response. A stream can be resumed
	// unless NoResume is set.
	CutEvery int
	// NoResume ends the attempt of an interrupted stream, so that it can't be resumed.
	NoResume bool
	// WrongIDEvery returns the response with the id of another request.
	WrongIDEvery int
	// NoUsageEvery omits the usage.
	NoUsageEvery int
	// Draining refuses every request with status 503.
	Draining bool
}

// Engine is a fake model engine, which responds to a prompt with the words of Answer. Use
// NewEngine. It is safe for concurrent use.
type Engine struct {
	settings EngineSettings

	// mu guards the fields below it and every Execution in executions.
	mu         sync.Mutex
	faults     EngineFaults
	requests   int
	executions map[granitehoist.AttemptID]*Execution
}

// NewEngine returns an engine without faults.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{settings: s, executions: map[granitehoist.AttemptID]*Execution{}}
}

// Fail replaces the faults for requests that begin after the call.
func (e *Engine) Fail(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Handler returns the HTTP handler of the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST "+upstream.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+upstream.PathAttempts, e.serveAttempts)
	mux.HandleFunc("GET "+upstream.PathResume, e.serveResume)
	return mux
}

// serveCompletion runs a request and sends the response as one body or as a stream. The
// attempt ends with the connection, unless its stream can be resumed.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !decodeBody(w, r, &request) {
		return
	}
	attempt := granitehoist.AttemptID(r.Header.Get(upstream.HeaderAttempt))
	prompt, tokens := request.prompt()
	x, faults := e.startExecution(attempt, prompt, tokens)
	if x == nil {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	defer e.endExecution(x)
	responseID := string(attempt)
	if faults.wrongID {
		responseID = "of-another-request"
	}
	w.Header().Set(upstream.HeaderAttempt, string(attempt))
	a := activeResponse{
		engine:    e,
		execution: x,
		faults:    faults,
		request:   &request,
		id:        "cmpl-" + responseID,
		chat:      strings.Contains(r.URL.Path, "chat"),
		words:     Answer(prompt, request.MaxTokens),
	}
	if request.Stream {
		a.stream(w, r, 0)
	} else {
		a.complete(w, r)
	}
}

// serveResume continues an interrupted stream after the events that the caller has
// received. Tokens that were counted before are not counted again.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := granitehoist.AttemptID(r.Header.Get(upstream.HeaderAttempt))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	a := e.takeStream(attempt)
	if err != nil || a == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	defer e.endExecution(a.execution)
	w.Header().Set(upstream.HeaderAttempt, string(attempt))
	a.stream(w, r, from)
}

// serveCancel ends an attempt and returns its usage. An unknown attempt is recorded as ended
// without usage, so that a request that arrives later does not run.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request upstream.CancelRequest
	if !decodeBody(w, r, &request) {
		return
	}
	e.mu.Lock()
	x, ok := e.executions[request.ID]
	if !ok {
		x = &Execution{Attempt: request.ID}
		e.executions[request.ID] = x
	}
	x.Ended = true
	record := upstream.AttemptRecord{ID: x.Attempt, Ended: true, Usage: x.usage()}
	e.mu.Unlock()
	writeJSON(w, record, nil)
}

// serveAttempts lists the attempts whose ids begin with a prefix, which identifies the
// router that sent them.
func (e *Engine) serveAttempts(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	var list upstream.AttemptList
	e.mu.Lock()
	for id, x := range e.executions {
		if strings.HasPrefix(string(id), prefix) {
			list.Attempts = append(list.Attempts, upstream.AttemptRecord{ID: id, Ended: x.Ended, Usage: x.usage()})
		}
	}
	e.mu.Unlock()
	writeJSON(w, list, nil)
}
