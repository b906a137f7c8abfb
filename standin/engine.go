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

// EngineSettings configure an Engine. The zero value works.
type EngineSettings struct {
	// TokenDelay is the time for one output token.
	TokenDelay time.Duration
	// FirstDelay is the time to the first token.
	FirstDelay time.Duration
}

// EngineFaults are the failures that an Engine shows on command. A count n
// lets every n-th request fail; zero lets none.
type EngineFaults struct {
	// RefuseEvery answers status 503 and does not run the request.
	RefuseEvery int
	// CutEvery ends the connection in the middle of an answer. The stream can be
	// resumed unless Forget is set.
	CutEvery int
	// Forget ends the attempt of a cut stream, so that nothing can resume it.
	Forget bool
	// CrossEvery gives the answer the id of another attempt.
	CrossEvery int
	// NoUsageEvery leaves the usage out.
	NoUsageEvery int
	// Leaving refuses every request.
	Leaving bool
}

// Engine is a stand-in of a model engine. Its answer to a prompt is Answer. See
// NewEngine; it is safe for concurrent use.
type Engine struct {
	settings EngineSettings

	// mu guards the fields below it and every Execution in books.
	mu       sync.Mutex
	faults   EngineFaults
	requests int
	books    map[granitehoist.AttemptID]*Execution
}

// NewEngine returns an engine.
func NewEngine(s EngineSettings) *Engine {
	return &Engine{settings: s, books: map[granitehoist.AttemptID]*Execution{}}
}

// Fail sets the failures from now on.
func (e *Engine) Fail(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST "+upstream.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+upstream.PathAttempts, e.serveAttempts)
	mux.HandleFunc("GET "+upstream.PathResume, e.serveResume)
	return mux
}

// serveCompletion runs a request and answers it as one body or as a stream. The
// attempt ends with the connection, unless its stream is held for a resumption.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !read(w, r, &request) {
		return
	}
	attempt := granitehoist.AttemptID(r.Header.Get(upstream.HeaderAttempt))
	prompt, tokens := request.prompt()
	x, p := e.begin(attempt, prompt, tokens)
	if x == nil {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	defer e.end(x)
	shown := string(attempt)
	if p.cross {
		shown = "of-another-request"
	}
	w.Header().Set(upstream.HeaderAttempt, string(attempt))
	a := answering{
		engine:    e,
		execution: x,
		plan:      p,
		request:   &request,
		id:        "cmpl-" + shown,
		chat:      strings.Contains(r.URL.Path, "chat"),
		words:     Answer(prompt, request.MaxTokens),
	}
	if request.Stream {
		a.stream(w, r, 0)
	} else {
		a.complete(w, r)
	}
}

// serveResume continues a cut stream after the events that the reader has. Words
// that were counted are not counted again.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := granitehoist.AttemptID(r.Header.Get(upstream.HeaderAttempt))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	a := e.takeHeld(attempt)
	if err != nil || a == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	defer e.end(a.execution)
	w.Header().Set(upstream.HeaderAttempt, string(attempt))
	a.stream(w, r, from)
}

// serveCancel ends an attempt and tells its cost. An attempt that it does not
// know is entered as ended without cost, so that a request that is still on
// its way does not run.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request upstream.CancelRequest
	if !read(w, r, &request) {
		return
	}
	e.mu.Lock()
	x, ok := e.books[request.ID]
	if !ok {
		x = &Execution{Attempt: request.ID}
		e.books[request.ID] = x
	}
	x.Ended = true
	record := upstream.AttemptRecord{ID: x.Attempt, Ended: true, Usage: x.usage()}
	e.mu.Unlock()
	reply(w, record, nil)
}

// serveAttempts lists the attempts whose ids begin with a prefix, which names the
// router that sent them.
func (e *Engine) serveAttempts(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	var list upstream.AttemptList
	e.mu.Lock()
	for id, x := range e.books {
		if strings.HasPrefix(string(id), prefix) {
			list.Attempts = append(list.Attempts, upstream.AttemptRecord{ID: id, Ended: x.Ended, Usage: x.usage()})
		}
	}
	e.mu.Unlock()
	reply(w, list, nil)
}
