// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/partner/upstream"
)

// activeResponse is a response that is being sent. Its fields don't change except faults,
// which are cleared when its stream is resumed. engine.mu guards execution.
type activeResponse struct {
	engine    *Engine
	execution *Execution
	faults    requestFaults
	request   *CompletionRequest
	id        string
	chat      bool
	words     []string
}

// produceNext waits for the delay of the i-th word and counts the word as output. It returns
// false if the attempt was cancelled or the caller closed the connection.
func (a *activeResponse) produceNext(i int, r *http.Request) bool {
	delay := a.engine.settings.TokenDelay
	if i == 0 {
		delay = a.engine.settings.FirstDelay
	}
	if delay > 0 {
		pause.For(r.Context(), delay)
	}
	return r.Context().Err() == nil && a.engine.produce(a.execution)
}

// outputTokens returns the number of tokens generated so far.
func (a *activeResponse) outputTokens() granitehoist.Tokens {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return a.execution.Output
}

func (a *activeResponse) usage() *upstream.EngineUsage {
	if a.faults.noUsage {
		return nil
	}
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return a.execution.usage()
}

var finishReasonStop = "stop"

// complete sends the response as a single body.
func (a *activeResponse) complete(w http.ResponseWriter, r *http.Request) {
	for i := range a.words {
		if !a.produceNext(i, r) {
			panic(http.ErrAbortHandler)
		}
		if a.faults.cut && i == len(a.words)/2 {
			panic(http.ErrAbortHandler)
		}
	}
	c := Choice{FinishReason: &finishReasonStop}
	text := strings.Join(a.words, " ")
	if a.chat {
		c.Message = &ChatMessage{Role: "assistant", Content: ChatContent(text)}
	} else {
		c.Text = text
	}
	writeJSON(w, Completion{ID: a.id, Object: "completion", Model: a.request.Model, Choices: []Choice{c}, Usage: a.usage()}, nil)
}

// stream sends the response as events, beginning with the word at index from. Only words that
// the engine has not generated before are delayed and counted.
func (a *activeResponse) stream(w http.ResponseWriter, r *http.Request, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range a.words {
		if i < from {
			continue
		}
		if granitehoist.Tokens(i) >= a.outputTokens() && !a.produceNext(i, r) {
			panic(http.ErrAbortHandler)
		}
		if a.faults.cut && i == len(a.words)/2 {
			a.engine.keepStream(a)
			panic(http.ErrAbortHandler)
		}
		if i > 0 {
			word = " " + word
		}
		c := Choice{}
		if a.chat {
			c.Delta = &ChatMessage{Content: ChatContent(word)}
		} else {
			c.Text = word
		}
		if i == len(a.words)-1 {
			c.FinishReason = &finishReasonStop
		}
		a.send(w, Completion{ID: a.id, Object: "chunk", Model: a.request.Model, Choices: []Choice{c}})
	}
	if a.request.StreamOptions.IncludeUsage && !a.faults.noUsage {
		a.send(w, Completion{ID: a.id, Object: "chunk", Model: a.request.Model, Choices: []Choice{}, Usage: a.usage()})
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// send writes and flushes one event.
func (a *activeResponse) send(w http.ResponseWriter, c Completion) {
	raw, err := json.Marshal(c)
	if err != nil {
		panic("standin: encode completion: " + err.Error())
	}
	fmt.Fprintf(w, "data: %s\n\n", raw)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
