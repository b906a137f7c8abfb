// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pushback"
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
// granitehoist.Protocol and is safe for concurrent use.
type Engine struct {
	sender *sender
}

// NewEngine returns the protocol.
func NewEngine() *Engine { return &Engine{sender: newSender()} }

// EngineUsage is the usage object of the protocol: the tokens of one request.
type EngineUsage struct {
	PromptTokens     granitehoist.Tokens `json:"prompt_tokens"`
	CompletionTokens granitehoist.Tokens `json:"completion_tokens"`
	// TotalTokens is not read; it is the sum of the other two.
	TotalTokens granitehoist.Tokens `json:"total_tokens"`
	Details     *PromptDetails      `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails is the details object of a usage.
type PromptDetails struct {
	// CachedTokens is the part of the prompt that the engine took from its cache.
	CachedTokens granitehoist.Tokens `json:"cached_tokens"`
}

// usage returns the use that the engine reported. No object, or one with a
// negative count, stands for no report.
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

// engineAnswer is what is read of an answer, or of one event of a stream.
type engineAnswer struct {
	ID      string `json:"id"`
	Choices []struct {
		Index        int     `json:"index"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *EngineUsage    `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// belongsTo reports whether the id of the answer was made from an attempt's id.
func (a *engineAnswer) belongsTo(attempt granitehoist.AttemptID) bool {
	return strings.HasSuffix(a.ID, "-"+string(attempt))
}

// Do implements granitehoist.Protocol. Its errors are *granitehoist.Error with
// codes UpstreamRefused and BadRequest, if the engine did not run the attempt,
// and UpstreamLost, UpstreamCut, UpstreamBadAnswer, AnswerCrossed and CallerGone,
// if it may have. The usage is what the engine reported before the error.
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

// statusError returns the error for an engine's status that is not 200. An engine
// that answers 429 or 503, or that rejects a request as wrong, has not run it.
func statusError(r *http.Response) error {
	switch {
	case pushback.TurnsAway(r.StatusCode):
		refused := granitehoist.Errorf(granitehoist.UpstreamRefused, "status %d", r.StatusCode)
		refused.RetryAfter = pushback.RetryAfter(r.Header)
		return refused
	case r.StatusCode >= http.StatusBadRequest && r.StatusCode < http.StatusInternalServerError:
		return granitehoist.Errorf(granitehoist.BadRequest, "the upstream answered status %d", r.StatusCode)
	}
	return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d", r.StatusCode)
}

// errTooLarge is the cause of an error for an answer above maxAnswer.
var errTooLarge = errors.New("upstream: the answer is too large")

// passWhole checks an answer that is not a stream and passes it on. It passes on
// nothing unless the answer is complete and belongs to the attempt.
func (e *Engine) passWhole(r *http.Response, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer+1))
	if err != nil {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
	}
	if len(body) > maxAnswer {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamBadAnswer, errTooLarge, "")
	}
	var answer engineAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
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

// finished reports whether every choice has a finish reason.
func (a *engineAnswer) finished() bool {
	for _, choice := range a.Choices {
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			return false
		}
	}
	return true
}
