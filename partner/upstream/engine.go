// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pushback"
)

// Paths of the engine protocol that extend the OpenAI-compatible API.
const (
	// PathCancel stops an attempt and returns its usage.
	PathCancel = "/v1/cancel"
	// PathResume continues an interrupted stream.
	PathResume = "/v1/resume"
	// PathAttempts lists the attempts whose ids have a prefix.
	PathAttempts = "/v1/attempts"
)

// Engine is the protocol of model engines. It implements
// granitehoist.Protocol and is safe for concurrent use.
type Engine struct {
	sender *sender
}

// NewEngine returns an engine protocol with its own connection pool.
func NewEngine() *Engine { return &Engine{sender: newSender()} }

// EngineUsage is the usage object of the protocol, the token counts of one request.
type EngineUsage struct {
	PromptTokens     granitehoist.Tokens `json:"prompt_tokens"`
	CompletionTokens granitehoist.Tokens `json:"completion_tokens"`
	// TotalTokens is the sum of PromptTokens and CompletionTokens. It is ignored when read.
	TotalTokens granitehoist.Tokens `json:"total_tokens"`
	Details     *PromptDetails      `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails is the prompt_tokens_details object of a usage.
type PromptDetails struct {
	// CachedTokens is the number of prompt tokens served from the engine's cache.
	CachedTokens granitehoist.Tokens `json:"cached_tokens"`
}

// usage converts the object. A nil object, or one with a negative count, gives a usage
// that is not Reported.
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

// engineResponse holds the decoded fields of a response or of one event of a stream.
type engineResponse struct {
	ID      string `json:"id"`
	Choices []struct {
		Index        int     `json:"index"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *EngineUsage    `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// belongsTo reports whether the id of the response was derived from the id of the attempt.
func (r *engineResponse) belongsTo(attempt granitehoist.AttemptID) bool {
	return strings.HasSuffix(r.ID, "-"+string(attempt))
}

// Do implements granitehoist.Protocol. The error is a *granitehoist.Error. Its code is
// UpstreamRefused or BadRequest if the engine didn't run the attempt, and UpstreamLost,
// UpstreamCut, UpstreamBadAnswer, AnswerCrossed or CallerGone if it may have. The usage
// is what the engine reported before the error.
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
		return e.forwardStream(ctx, response, c, sink)
	}
	return e.forwardBody(response, c, sink)
}

// statusError returns the error for a status other than 200. An engine that responds
// with 429, 503 or another 4xx status has not run the request.
func statusError(r *http.Response) error {
	switch {
	case pushback.IsOverload(r.StatusCode):
		refused := granitehoist.Errorf(granitehoist.UpstreamRefused, "status %d", r.StatusCode)
		refused.RetryAfter = pushback.RetryAfter(r.Header)
		return refused
	case r.StatusCode >= http.StatusBadRequest && r.StatusCode < http.StatusInternalServerError:
		return granitehoist.Errorf(granitehoist.BadRequest, "the upstream rejected the request with status %d", r.StatusCode)
	}
	return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d", r.StatusCode)
}

// forwardBody forwards a response that is not a stream. It forwards nothing unless the
// response is complete and belongs to the attempt.
func (e *Engine) forwardBody(r *http.Response, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	buffer := e.sender.newBuffer()
	defer buffer.Release()
	body, err := buffer.ReadAll(r.Body, r.ContentLength)
	if err != nil {
		return granitehoist.Usage{}, bodyError(err)
	}
	var response engineResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
	}
	if !response.belongsTo(c.Attempt) {
		return granitehoist.Usage{}, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
	}
	if len(response.Choices) == 0 || !response.finished() {
		return response.Usage.usage(), granitehoist.Errorf(granitehoist.UpstreamCut, "a choice has no finish reason")
	}
	if err := sink.Start(r.StatusCode, EndToEndHeader(r.Header, HeaderAttempt, "Content-Length")); err != nil {
		return response.Usage.usage(), granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	if err := sink.Write(body); err != nil {
		return response.Usage.usage(), granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return response.Usage.usage(), nil
}

// finished reports whether each choice has a finish reason.
func (r *engineResponse) finished() bool {
	for _, choice := range r.Choices {
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			return false
		}
	}
	return true
}
