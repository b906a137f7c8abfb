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

// PlainFaults are the faults that a Plain service injects. A count n affects every n-th
// request; zero affects none.
type PlainFaults struct {
	// LoseEvery runs the request and closes the connection without a response.
	LoseEvery int
	// WrongIDEvery returns the response with the id of another request.
	WrongIDEvery int
	// Delay is added before each response. Zero adds none.
	Delay time.Duration
}

// Plain is a fake plain service, which echoes each request. Use NewPlain. It is safe for
// concurrent use.
type Plain struct {
	// mu guards the fields below it.
	mu       sync.Mutex
	faults   PlainFaults
	requests int
	// runs counts the executions by path and body, attempts counts them by attempt id.
	runs     map[string]int
	attempts map[granitehoist.AttemptID]int
}

// NewPlain returns a service without faults.
func NewPlain() *Plain {
	return &Plain{runs: map[string]int{}, attempts: map[granitehoist.AttemptID]int{}}
}

// Fail replaces the faults for requests that begin after the call.
func (p *Plain) Fail(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Runs returns the number of executions for each path and body, joined by a space.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runs)
}

// Attempts returns the number of executions for each attempt id.
func (p *Plain) Attempts() map[granitehoist.AttemptID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.attempts)
}

// PlainAnswer is the body of a Plain service's response.
type PlainAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Handler returns the HTTP handler of the service.
func (p *Plain) Handler() http.Handler {
	return http.HandlerFunc(p.serve)
}

// serve counts a request as run and then echoes it or injects a fault.
func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, granitehoist.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := granitehoist.AttemptID(r.Header.Get(upstream.HeaderAttempt))
	faults, lose, wrongID := p.run(r.URL.Path+" "+string(body), attempt)
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	if wrongID {
		attempt = "of-another-request"
	}
	w.Header().Set(upstream.HeaderAttempt, string(attempt))
	writeJSON(w, PlainAnswer{Method: r.Method, Path: r.URL.Path, Body: string(body)}, nil)
}

// run counts one execution and returns the faults to inject.
func (p *Plain) run(pathAndBody string, attempt granitehoist.AttemptID) (faults PlainFaults, lose, wrongID bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	p.runs[pathAndBody]++
	p.attempts[attempt]++
	return p.faults, isEveryNth(p.faults.LoseEvery, p.requests), isEveryNth(p.faults.WrongIDEvery, p.requests)
}
