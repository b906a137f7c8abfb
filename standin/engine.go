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
	// CutEvery ends the connection in the middle of an answer. A stream can be
	// resumed then, unless Forget is set.
	CutEvery int
	Forget   bool
	// CrossEvery gives the answer the id of another attempt.
	CrossEvery int
	// NoUsageEvery leaves the usage out.
	NoUsageEvery int
	// Leaving refuses every request.
	Leaving bool
}

// Execution is what an Engine has in its books of one attempt.
type Execution struct {
	Attempt granitehoist.AttemptID
	// Text is the beginning of the prompt.
	Text   string
	Prompt granitehoist.Tokens
	Output granitehoist.Tokens
	// Ended is set when the attempt produces no more.
	Ended bool
	// Runs counts how often the attempt was executed.
	Runs int
	// answering is what a resumed stream goes on with; held says that a stream
	// was broken off and may be resumed.
	answering *answering
	held      bool
}

// Engine is a stand-in of a model engine. Its answer to a prompt is Answer.
type Engine struct {
	settings EngineSettings

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

// Books returns all executions.
func (e *Engine) Books() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	books := make([]Execution, 0, len(e.books))
	for _, execution := range e.books {
		books = append(books, *execution)
	}
	return books
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

// plan is how the engine will serve one request.
type plan struct {
	cut, cross, noUsage, refuse bool
}

// bookedText bounds the part of a prompt that the books keep, in bytes. Chosen,
// not measured; a trial's request id stands in the first twelve.
const bookedText = 128

// begin enters an attempt in the books, unless the engine refuses it or the
// attempt was ended before, and decides which failures it shows.
func (e *Engine) begin(attempt granitehoist.AttemptID, text string, prompt granitehoist.Tokens) (*Execution, plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	p := plan{
		refuse:  e.faults.Leaving || isEveryNth(e.faults.RefuseEvery, e.requests),
		cut:     isEveryNth(e.faults.CutEvery, e.requests),
		cross:   isEveryNth(e.faults.CrossEvery, e.requests),
		noUsage: isEveryNth(e.faults.NoUsageEvery, e.requests),
	}
	x, ok := e.books[attempt]
	if p.refuse || (ok && x.Ended) {
		p.refuse = true
		return nil, p
	}
	if !ok {
		x = &Execution{Attempt: attempt, Text: text[:min(len(text), bookedText)]}
		e.books[attempt] = x
	}
	x.Runs++
	x.Prompt += prompt
	return x, p
}

// produce counts one output token, unless the attempt was ended.
func (e *Engine) produce(x *Execution) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.Ended {
		return false
	}
	x.Output++
	return true
}

// end marks an attempt as producing no more.
func (e *Engine) end(x *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Ended = true
}

// endUnlessHeld does the same unless the attempt waits for a resumption.
func (e *Engine) endUnlessHeld(x *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Ended = x.Ended || !x.held
}

// hold keeps a broken stream for a resumption.
func (e *Engine) hold(a *answering) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.Forget {
		a.execution.held = true
		a.execution.answering = a
	}
}

// takeHeld returns the held stream of an attempt, nil if there is none.
func (e *Engine) takeHeld(id granitehoist.AttemptID) *answering {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.books[id]
	if !ok || !x.held || x.Ended {
		return nil
	}
	x.held = false
	x.answering.plan = plan{}
	return x.answering
}

// serveResume goes on with a broken stream after the events that the reader
// has. Words that were counted are not counted again.
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

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !read(w, r, &request) {
		return
	}
	attempt := granitehoist.AttemptID(r.Header.Get(upstream.HeaderAttempt))
	prompt, tokens := request.prompt()
	x, p := e.begin(attempt, prompt, tokens)
	if p.refuse {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	defer e.endUnlessHeld(x)
	shown := string(attempt)
	if p.cross {
		shown = "of-another-request"
	}
	w.Header().Set(upstream.HeaderAttempt, string(attempt))
	a := answering{engine: e, execution: x, plan: p, request: &request, id: "cmpl-" + shown, chat: strings.Contains(r.URL.Path, "chat"), words: Answer(prompt, request.MaxTokens)}
	if request.Stream {
		a.stream(w, r, 0)
	} else {
		a.complete(w, r)
	}
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
