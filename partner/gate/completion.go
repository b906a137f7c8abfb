// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"math"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// allowedFields are the fields of a completion request that can't raise its cost above
// maxCost. A request with any other field, such as a chat template, is refused.
var allowedFields = map[string]bool{
	"model": true, "messages": true, "prompt": true, "max_tokens": true, "max_completion_tokens": true,
	"stream": true, "stream_options": true, "temperature": true, "top_p": true, "top_k": true, "min_p": true,
	"n": true, "stop": true, "seed": true, "user": true, "presence_penalty": true, "frequency_penalty": true,
	"repetition_penalty": true, "logit_bias": true, "logprobs": true, "top_logprobs": true,
	"response_format": true, "tools": true, "tool_choice": true, "parallel_tool_calls": true, "metadata": true,
}

const (
	// maxChoices is the largest number of choices of one request.
	maxChoices = 8
	// maxTokenCount is the largest maximum of output tokens. It keeps the maximum cost
	// of a request from overflowing.
	maxTokenCount = granitehoist.Tokens(math.MaxInt32)
)

// completion is a parsed completion request.
type completion struct {
	fields map[string]json.RawMessage
	// bodyBytes is the size of the body.
	bodyBytes int
	// textBytes is the size of the prompt's text. The text has at most this many tokens.
	textBytes int
	model     granitehoist.Model
	stream    bool
	// wantsUsage means that the caller requested the usage in its stream.
	wantsUsage bool
	choices    granitehoist.Tokens
	// messages is the number of chat messages, zero for a plain prompt.
	messages int
	// maxTokens is the caller's maximum for one choice, nil if it set none.
	maxTokens *granitehoist.Tokens
	// prefix is the part of the prompt that is hashed for upstream affinity.
	prefix []byte
}

// parseCompletion parses a request body. The error is a *granitehoist.Error with code
// BadRequest, BadTokenCount or Unsupported.
func parseCompletion(body []byte) (*completion, error) {
	c := &completion{bodyBytes: len(body), choices: 1}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, granitehoist.Errorf(granitehoist.BadRequest, "the body is not a JSON object: %v", err)
	}
	for name := range c.fields {
		if !allowedFields[name] {
			return nil, granitehoist.Errorf(granitehoist.Unsupported, "field %q", name)
		}
	}
	if err := c.decodeField("model", &c.model); err != nil {
		return nil, err
	}
	if c.model == "" {
		return nil, granitehoist.Errorf(granitehoist.BadRequest, "field \"model\" is missing")
	}
	if err := c.readStream(); err != nil {
		return nil, err
	}
	if err := c.readMaxTokens(); err != nil {
		return nil, err
	}
	if err := c.readChoices(); err != nil {
		return nil, err
	}
	return c, c.readPrompt()
}

// decodeField decodes the field into dst if it is present and not null.
func (c *completion) decodeField(name string, dst any) error {
	raw, ok := c.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		return granitehoist.Errorf(granitehoist.BadRequest, "field %q has the wrong type", name)
	}
	return nil
}

// readStream reads whether the response is a stream and whether it includes the usage.
func (c *completion) readStream() error {
	if err := c.decodeField("stream", &c.stream); err != nil {
		return err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := c.decodeField("stream_options", &options); err != nil {
		return err
	}
	c.wantsUsage = options.IncludeUsage
	return nil
}

// readMaxTokens reads the caller's maximum of output tokens for one choice. It may be in
// either of two fields, or in both with the same value.
func (c *completion) readMaxTokens() error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var n *float64
		if err := c.decodeField(name, &n); err != nil {
			return granitehoist.Errorf(granitehoist.BadTokenCount, "field %q is not a number", name)
		}
		if n == nil {
			continue
		}
		if *n != math.Trunc(*n) || *n < 1 || *n > float64(maxTokenCount) {
			return granitehoist.Errorf(granitehoist.BadTokenCount, "field %q must be an integer from 1 to %d", name, maxTokenCount)
		}
		tokens := granitehoist.Tokens(*n)
		if c.maxTokens != nil && *c.maxTokens != tokens {
			return granitehoist.Errorf(granitehoist.BadTokenCount, "max_tokens and max_completion_tokens differ")
		}
		c.maxTokens = &tokens
	}
	return nil
}

// readChoices reads the number of choices, one by default.
func (c *completion) readChoices() error {
	if err := c.decodeField("n", &c.choices); err != nil {
		return err
	}
	if c.choices < 1 || c.choices > maxChoices {
		return granitehoist.Errorf(granitehoist.BadTokenCount, "field \"n\" must be from 1 to %d", maxChoices)
	}
	return nil
}

// upstreamBody returns the body for the engine: the caller's body with max_tokens and
// priority set. In a request for a stream it also requests the usage.
func (c *completion) upstreamBody(s config.Service, p granitehoist.Priority) ([]byte, error) {
	const added = 3 // max_tokens, priority and stream_options
	fields := make(map[string]any, len(c.fields)+added)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = c.maxOutput(s)
	fields["priority"] = enginePriority(p)
	if c.stream {
		fields["stream_options"] = map[string]bool{"include_usage": true}
	}
	return json.Marshal(fields)
}

// enginePriority converts a priority for an engine. Engines serve smaller numbers first,
// while callers and policies use larger numbers for higher priorities.
func enginePriority(p granitehoist.Priority) granitehoist.Priority {
	return granitehoist.MaxPriority - p
}
