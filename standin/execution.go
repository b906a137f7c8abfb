// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
)

// Execution is an Engine's record of one attempt.
type Execution struct {
	Attempt granitehoist.AttemptID
	// Text is the beginning of the prompt, up to maxRecordedText bytes.
	Text   string
	Prompt granitehoist.Tokens
	Output granitehoist.Tokens
	// Ended is set once the attempt generates no more output.
	Ended bool
	// Runs is the number of times that the attempt was executed.
	Runs int
	// response is the attempt's interrupted stream if resumable is set.
	response  *activeResponse
	resumable bool
}

func (x *Execution) usage() *upstream.EngineUsage {
	return &upstream.EngineUsage{PromptTokens: x.Prompt, CompletionTokens: x.Output, TotalTokens: x.Prompt + x.Output}
}

// Executions returns copies of the records of all attempts.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	executions := make([]Execution, 0, len(e.executions))
	for _, execution := range e.executions {
		executions = append(executions, *execution)
	}
	return executions
}

// requestFaults are the faults that the engine injects into one request.
type requestFaults struct {
	cut, wrongID, noUsage bool
}

// maxRecordedText is the number of bytes of a prompt that an Execution keeps.
const maxRecordedText = 128

// startExecution records an attempt and determines its faults. It returns nil if the engine
// refuses the request or the attempt has already ended.
func (e *Engine) startExecution(attempt granitehoist.AttemptID, text string, prompt granitehoist.Tokens) (*Execution, requestFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	refuse := e.faults.Draining || isEveryNth(e.faults.RefuseEvery, e.requests)
	faults := requestFaults{
		cut:     isEveryNth(e.faults.CutEvery, e.requests),
		wrongID: isEveryNth(e.faults.WrongIDEvery, e.requests),
		noUsage: isEveryNth(e.faults.NoUsageEvery, e.requests),
	}
	x, ok := e.executions[attempt]
	if refuse || (ok && x.Ended) {
		return nil, faults
	}
	if !ok {
		x = &Execution{Attempt: attempt, Text: text[:min(len(text), maxRecordedText)]}
		e.executions[attempt] = x
	}
	x.Runs++
	x.Prompt += prompt
	return x, faults
}

// produce counts one output token. It returns false if the attempt has ended.
func (e *Engine) produce(x *Execution) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.Ended {
		return false
	}
	x.Output++
	return true
}

// endExecution marks an attempt as ended, unless its stream can be resumed.
func (e *Engine) endExecution(x *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Ended = x.Ended || !x.resumable
}

// keepStream keeps an interrupted stream so that it can be resumed, unless NoResume is set.
func (e *Engine) keepStream(a *activeResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.NoResume {
		a.execution.resumable = true
		a.execution.response = a
	}
}

// takeStream returns the interrupted stream of an attempt without its faults, or nil if
// the attempt has no stream that can be resumed.
func (e *Engine) takeStream(id granitehoist.AttemptID) *activeResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.executions[id]
	if !ok || !x.resumable || x.Ended {
		return nil
	}
	x.resumable = false
	x.response.faults = requestFaults{}
	return x.response
}
