// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// Paths of an engine's protocol beyond the OpenAI-compatible ones.
const (
	// PathCancel ends an attempt and answers what it cost.
	PathCancel = "/v1/cancel"
	// PathResume goes on with a stream that was broken off.
	PathResume = "/v1/resume"
	// PathAttempts lists attempts whose ids begin with a prefix.
	PathAttempts = "/v1/attempts"
)

// Engine is the protocol of model engines. It implements
// granitehoist.Protocol.
type Engine struct {
	sender *sender
}

// NewEngine returns the protocol.
func NewEngine(s Settings) *Engine { return &Engine{sender: newSender(s)} }

// EngineUsage is the usage object of the protocol.
type EngineUsage struct {
	PromptTokens     granitehoist.Tokens `json:"prompt_tokens"`
	CompletionTokens granitehoist.Tokens `json:"completion_tokens"`
	TotalTokens      granitehoist.Tokens `json:"total_tokens"`
	Details          *PromptDetails      `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails tells which part of a prompt was cached.
type PromptDetails struct {
	CachedTokens granitehoist.Tokens `json:"cached_tokens"`
}

func (u *EngineUsage) usage() granitehoist.Usage {
	if u == nil || u.PromptTokens < 0 || u.CompletionTokens < 0 {
		return granitehoist.Usage{}
	}
	usage := granitehoist.Usage{Prompt: u.PromptTokens, Output: u.CompletionTokens, Reported: true}
	if u.Details != nil {
		usage.Cached = u.Details.CachedTokens
	}
	return usage
}

// engineAnswer is what is read of a whole answer or of one event of a stream.
type engineAnswer struct {
	ID      string `json:"id"`
	Choices []struct {
		Index        int     `json:"index"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *EngineUsage    `json:"usage"`
	Error json.RawMessage `json:"error"`
}

func (a *engineAnswer) belongsTo(attempt granitehoist.AttemptID) bool {
	return strings.HasSuffix(a.ID, "-"+string(attempt))
}

// Do implements granitehoist.Protocol.
func (e *Engine) Do(ctx context.Context, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	response, end, err := e.sender.open(ctx, c)
	if err != nil {
		return granitehoist.Usage{}, err
	}
	defer end()
	if response.StatusCode != http.StatusOK {
		return granitehoist.Usage{}, statusError(response)
	}
	if c.Stream {
		return e.passStream(ctx, response, c, sink)
	}
	return e.passWhole(response, c, sink)
}

// statusError is the error for an engine's status. An engine that answers 429 or
// 503, or that rejects a request as wrong, has not run it.
func statusError(r *http.Response) error {
	switch {
	case r.StatusCode == http.StatusTooManyRequests, r.StatusCode == http.StatusServiceUnavailable:
		return granitehoist.Errorf(granitehoist.UpstreamRefused, "status %d", r.StatusCode)
	case r.StatusCode >= http.StatusBadRequest && r.StatusCode < http.StatusInternalServerError:
		return granitehoist.Errorf(granitehoist.BadRequest, "the upstream answered status %d", r.StatusCode)
	}
	return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d", r.StatusCode)
}

func (e *Engine) passWhole(r *http.Response, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, e.sender.settings.MaxAnswer+1))
	if err != nil {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
	}
	var answer engineAnswer
	if err := json.Unmarshal(body, &answer); err != nil || int64(len(body)) > e.sender.settings.MaxAnswer {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
	}
	if !answer.belongsTo(c.Attempt) {
		return granitehoist.Usage{}, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
	}
	if len(answer.Choices) == 0 || !answer.finished() {
		return answer.Usage.usage(), granitehoist.Errorf(granitehoist.UpstreamCut, "a choice has no finish reason")
	}
	if err := sink.Start(r.StatusCode, CopyHeader(r.Header, HeaderAttempt, "Content-Length")); err != nil {
		return answer.Usage.usage(), granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	if err := sink.Write(body); err != nil {
		return answer.Usage.usage(), granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return answer.Usage.usage(), nil
}

func (a *engineAnswer) finished() bool {
	for _, choice := range a.Choices {
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			return false
		}
	}
	return true
}

var (
	dataField = []byte("data:")
	endMark   = []byte("[DONE]")
)

const maxEventSize = 1 << 20

// maxResumes bounds how often one stream is resumed.
const maxResumes = 3

// passStream passes on the events of an answer. The end mark is passed on only if
// every choice that was begun has a finish reason. A stream that breaks off is
// resumed at the engine, from the event after the last that came whole.
func (e *Engine) passStream(ctx context.Context, r *http.Response, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	state := streamState{attempt: c.Attempt, open: map[int]bool{}}
	err := e.passEvents(r, c, sink, &state)
	for range maxResumes {
		if !errors.Is(err, errBrokenOff) || ctx.Err() != nil || !state.begun {
			break
		}
		resumed, end, failed := e.resume(ctx, c, state.events)
		if failed != nil {
			break
		}
		err = e.passEvents(resumed, c, sink, &state)
		end()
	}
	return state.usage, err
}

// errBrokenOff is the cause of an error that a resumed stream may mend.
var errBrokenOff = errors.New("upstream: the stream broke off")

// resume asks the engine to go on with a stream after a number of events.
func (e *Engine) resume(ctx context.Context, c granitehoist.Call, events int) (*http.Response, func(), error) {
	call := granitehoist.Call{
		Attempt: c.Attempt,
		Address: c.Address,
		Method:  http.MethodGet,
		Path:    PathResume + "?from=" + strconv.Itoa(events),
	}
	response, end, err := e.sender.open(ctx, call)
	if err != nil {
		return nil, nil, err
	}
	if response.StatusCode != http.StatusOK {
		end()
		return nil, nil, statusError(response)
	}
	return response, end, nil
}

// passEvents passes on the events of one response until its end mark.
func (e *Engine) passEvents(r *http.Response, c granitehoist.Call, sink granitehoist.Sink, state *streamState) error {
	reader := bufio.NewReader(r.Body)
	for {
		line, err := readLine(reader)
		if err != nil {
			return granitehoist.Wrap(granitehoist.UpstreamCut, errors.Join(errBrokenOff, err), "")
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		done := bytes.Equal(data, endMark)
		hidden, err := state.take(data, done)
		if err != nil {
			return err
		}
		if hidden && c.HideUsage {
			continue
		}
		if !state.started {
			state.started = true
			if err := sink.Start(r.StatusCode, CopyHeader(r.Header, HeaderAttempt, "Content-Length")); err != nil {
				return granitehoist.Wrap(granitehoist.CallerGone, err, "")
			}
		}
		if err := sink.Write(event(data)); err != nil {
			return granitehoist.Wrap(granitehoist.CallerGone, err, "")
		}
		if done {
			// What follows the end mark is read so that the connection can be
			// used again; it is bounded and its error is of no matter.
			_, _ = io.CopyN(io.Discard, reader, maxEventSize)
			return nil
		}
	}
}

// event returns one event as it is sent to callers.
func event(data []byte) []byte {
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventSize {
			return nil, errors.New("upstream: event too large")
		}
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// streamState is what is known of a stream so far.
type streamState struct {
	attempt granitehoist.AttemptID
	started bool
	begun   bool
	// events counts those with a part of the answer.
	events int
	open   map[int]bool
	usage  granitehoist.Usage
}

// take checks one event, and reports whether it holds usage and no choices.
func (s *streamState) take(data []byte, done bool) (usageOnly bool, err error) {
	if done {
		if !s.begun || len(s.open) > 0 {
			return false, granitehoist.Errorf(granitehoist.UpstreamCut, "the stream ended before its answer")
		}
		return false, nil
	}
	var a engineAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return false, granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
	}
	if len(a.Error) > 0 && string(a.Error) != "null" {
		return false, granitehoist.Errorf(granitehoist.UpstreamCut, "the upstream reported an error in the stream")
	}
	if !a.belongsTo(s.attempt) {
		return false, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
	}
	if len(a.Choices) > 0 {
		s.begun = true
		s.events++
	}
	for _, choice := range a.Choices {
		s.open[choice.Index] = true
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			delete(s.open, choice.Index)
		}
	}
	if usage := a.Usage.usage(); usage.Reported {
		s.usage = usage
	}
	return a.Usage != nil && len(a.Choices) == 0, nil
}

// CancelRequest names the attempt to end.
type CancelRequest struct {
	ID granitehoist.AttemptID `json:"id"`
}

// AttemptRecord is what an engine tells of an attempt.
type AttemptRecord struct {
	ID    granitehoist.AttemptID `json:"id"`
	Ended bool                   `json:"ended"`
	Usage *EngineUsage           `json:"usage"`
}

// Stop implements granitehoist.Protocol. An engine that does not know the
// attempt has not run it.
func (e *Engine) Stop(ctx context.Context, address string, attempt granitehoist.AttemptID) (granitehoist.Usage, bool) {
	ctx, cancel := context.WithTimeout(ctx, e.sender.settings.Stop)
	defer cancel()
	request, err := sling.New().Base(address).Post(PathCancel).BodyJSON(CancelRequest{ID: attempt}).Request()
	if err != nil {
		return granitehoist.Usage{}, false
	}
	var record AttemptRecord
	response, err := sling.New().Client(e.sender.reusing).Do(request.WithContext(ctx), &record, nil)
	switch {
	case err != nil || response == nil:
		return granitehoist.Usage{}, false
	case response.StatusCode == http.StatusOK && record.ID == attempt && record.Ended && record.Usage != nil:
		usage := record.Usage.usage()
		return usage, usage.Reported
	}
	return granitehoist.Usage{}, false
}

// AttemptList answers a query of PathAttempts.
type AttemptList struct {
	Attempts []AttemptRecord `json:"attempts"`
}

// AttemptQuery asks for attempts by the beginning of their ids.
type AttemptQuery struct {
	Prefix string `url:"prefix"`
}

// List implements granitehoist.Protocol.
func (e *Engine) List(ctx context.Context, address, prefix string) ([]granitehoist.KnownAttempt, error) {
	ctx, cancel := context.WithTimeout(ctx, e.sender.settings.Stop)
	defer cancel()
	request, err := sling.New().Base(address).Get(PathAttempts).QueryStruct(AttemptQuery{Prefix: prefix}).Request()
	if err != nil {
		return nil, eris.Wrap(err, "upstream: request can't be made")
	}
	var list AttemptList
	response, err := sling.New().Client(e.sender.reusing).Do(request.WithContext(ctx), &list, nil)
	if err != nil {
		return nil, eris.Wrap(err, "upstream: list of attempts")
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("upstream: list of attempts: status %d", response.StatusCode)
	}
	known := make([]granitehoist.KnownAttempt, len(list.Attempts))
	for i, a := range list.Attempts {
		known[i] = granitehoist.KnownAttempt{ID: a.ID, Ended: a.Ended, Usage: a.Usage.usage()}
	}
	return known, nil
}
