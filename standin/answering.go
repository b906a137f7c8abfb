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

// answering is one answer in progress. Its fields do not change but for plan,
// which a resumption clears; engine.mu guards the execution.
type answering struct {
	engine    *Engine
	execution *Execution
	plan      plan
	request   *CompletionRequest
	id        string
	chat      bool
	words     []string
}

// next waits for the next word's time and counts it. It returns false when the
// attempt has been ended or its reader has closed the connection.
func (a *answering) next(i int, r *http.Request) bool {
	delay := a.engine.settings.TokenDelay
	if i == 0 {
		delay = a.engine.settings.FirstDelay
	}
	if delay > 0 {
		pause.For(r.Context(), delay)
	}
	return r.Context().Err() == nil && a.engine.produce(a.execution)
}

// produced returns the words that were counted.
func (a *answering) produced() granitehoist.Tokens {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return a.execution.Output
}

func (a *answering) usage() *upstream.EngineUsage {
	if a.plan.noUsage {
		return nil
	}
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return a.execution.usage()
}

var finishStop = "stop"

// complete sends the answer as one body.
func (a *answering) complete(w http.ResponseWriter, r *http.Request) {
	for i := range a.words {
		if !a.next(i, r) {
			panic(http.ErrAbortHandler)
		}
		if a.plan.cut && i == len(a.words)/2 {
			panic(http.ErrAbortHandler)
		}
	}
	c := Choice{FinishReason: &finishStop}
	text := strings.Join(a.words, " ")
	if a.chat {
		c.Message = &ChatMessage{Role: "assistant", Content: ChatContent(text)}
	} else {
		c.Text = text
	}
	reply(w, Completion{ID: a.id, Object: "completion", Model: a.request.Model, Choices: []Choice{c}, Usage: a.usage()}, nil)
}

// stream sends the events of the answer from a word on, at the engine's pace for
// words that were not produced before.
func (a *answering) stream(w http.ResponseWriter, r *http.Request, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range a.words {
		if i < from {
			continue
		}
		if granitehoist.Tokens(i) >= a.produced() && !a.next(i, r) {
			panic(http.ErrAbortHandler)
		}
		if a.plan.cut && i == len(a.words)/2 {
			a.engine.hold(a)
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
			c.FinishReason = &finishStop
		}
		a.send(w, Completion{ID: a.id, Object: "chunk", Model: a.request.Model, Choices: []Choice{c}})
	}
	if a.request.StreamOptions.IncludeUsage && !a.plan.noUsage {
		a.send(w, Completion{ID: a.id, Object: "chunk", Model: a.request.Model, Choices: []Choice{}, Usage: a.usage()})
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// send writes one event.
func (a *answering) send(w http.ResponseWriter, c Completion) {
	raw, err := json.Marshal(c)
	if err != nil {
		panic("standin: answer does not encode: " + err.Error())
	}
	fmt.Fprintf(w, "data: %s\n\n", raw)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
