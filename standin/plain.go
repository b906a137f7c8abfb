// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
)

// PlainFaults are the failures that a Plain service shows on command. A count
// n lets every n-th request fail; zero lets none.
type PlainFaults struct {
	// LoseEvery runs the request and ends the connection without an answer.
	LoseEvery int
	// CrossEvery answers with the id of another attempt.
	CrossEvery int
	// Delay is added before each answer.
	Delay time.Duration
}

// Plain is a stand-in of a plain service. It runs each request and answers
// what it was sent. See NewPlain; it is safe for concurrent use.
type Plain struct {
	// mu guards the fields below it.
	mu       sync.Mutex
	faults   PlainFaults
	requests int
	// runs counts the executions by path and body, attempts by attempt.
	runs     map[string]int
	attempts map[granitehoist.AttemptID]int
}

// NewPlain returns a service.
func NewPlain() *Plain {
	return &Plain{runs: map[string]int{}, attempts: map[granitehoist.AttemptID]int{}}
}

// Fail sets the failures from now on.
func (p *Plain) Fail(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Runs returns how often each path with its body was executed.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runs)
}

// Attempts returns how often each attempt was executed.
func (p *Plain) Attempts() map[granitehoist.AttemptID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.attempts)
}

// PlainAnswer is the body of an answer.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Handler serves the service.
func (p *Plain) Handler() http.Handler {
	return http.HandlerFunc(p.serve)
}

// serve runs a request and answers what it was sent, or fails as the faults say:
// the request has run in each case.
func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, granitehoist.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := granitehoist.AttemptID(r.Header.Get(upstream.HeaderAttempt))
	faults, lose, cross := p.run(r.URL.Path+" "+string(body), attempt)
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	if cross {
		attempt = "of-another-request"
	}
	w.Header().Set(upstream.HeaderAttempt, string(attempt))
	reply(w, PlainAnswer{Method: r.Method, Path: r.URL.Path, Body: string(body)}, nil)
}

// run counts one execution.
func (p *Plain) run(what string, attempt granitehoist.AttemptID) (faults PlainFaults, lose, cross bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	p.runs[what]++
	p.attempts[attempt]++
	return p.faults, isEveryNth(p.faults.LoseEvery, p.requests), isEveryNth(p.faults.CrossEvery, p.requests)
}
