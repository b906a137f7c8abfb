// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
)

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
	// held says that the attempt's stream was cut and may be resumed, and
	// answering is that stream.
	answering *answering
	held      bool
}

func (x *Execution) usage() *upstream.EngineUsage {
	return &upstream.EngineUsage{PromptTokens: x.Prompt, CompletionTokens: x.Output, TotalTokens: x.Prompt + x.Output}
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

// plan is the failures that the engine shows for one request that it runs.
type plan struct {
	cut, cross, noUsage bool
}

// bookedText bounds the part of a prompt that the books keep, in bytes. Chosen,
// not measured; a trial's request id stands in the first twelve.
const bookedText = 128

// begin enters an attempt in the books and decides which failures it shows. It
// returns nil if the engine refuses it or the attempt was ended before.
func (e *Engine) begin(attempt granitehoist.AttemptID, text string, prompt granitehoist.Tokens) (*Execution, plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	refuse := e.faults.Leaving || isEveryNth(e.faults.RefuseEvery, e.requests)
	p := plan{
		cut:     isEveryNth(e.faults.CutEvery, e.requests),
		cross:   isEveryNth(e.faults.CrossEvery, e.requests),
		noUsage: isEveryNth(e.faults.NoUsageEvery, e.requests),
	}
	x, ok := e.books[attempt]
	if refuse || (ok && x.Ended) {
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

// end marks an attempt as producing no more, unless it waits for a resumption.
func (e *Engine) end(x *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Ended = x.Ended || !x.held
}

// hold keeps a cut stream for a resumption, unless the engine forgets it.
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
