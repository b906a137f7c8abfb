// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"math"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// allowedFields are the fields of a completion request that can't raise its
// cost beyond the bound. Others, such as a template of the caller's own, are
// refused.
var allowedFields = map[string]bool{
	"model": true, "messages": true, "prompt": true, "max_tokens": true, "max_completion_tokens": true,
	"stream": true, "stream_options": true, "temperature": true, "top_p": true, "top_k": true, "min_p": true,
	"n": true, "stop": true, "seed": true, "user": true, "presence_penalty": true, "frequency_penalty": true,
	"repetition_penalty": true, "logit_bias": true, "logprobs": true, "top_logprobs": true,
	"response_format": true, "tools": true, "tool_choice": true, "parallel_tool_calls": true, "metadata": true,
}

const (
	// maxChoices bounds the answers that one request may ask for.
	maxChoices = 8
	// maxTokenCount bounds a maximum of output tokens: the largest 32-bit number, so that
	// the bound of no request overflows.
	maxTokenCount = granitehoist.Tokens(math.MaxInt32)
)

// completion is a completion request as a caller sent it.
type completion struct {
	fields map[string]json.RawMessage
	// bodyBytes is the size of the body.
	bodyBytes int
	// textBytes is the size of the prompt's own text; it bounds its tokens.
	textBytes int
	model     granitehoist.Model
	stream    bool
	// wantsUsage says that the caller asked for the usage in its stream.
	wantsUsage bool
	choices    granitehoist.Tokens
	// messages is the number of chat messages; zero for a plain prompt.
	messages int
	// maxTokens is the caller's maximum of one choice, nil if it gave none.
	maxTokens *granitehoist.Tokens
	// prefix is the part of the prompt by which requests share an upstream.
	prefix []byte
}

// parseCompletion reads a body. Its errors are *Error with codes BadRequest,
// BadTokenCount and Unsupported.
func parseCompletion(body []byte) (*completion, error) {
	c := &completion{bodyBytes: len(body), choices: 1}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, granitehoist.Errorf(granitehoist.BadRequest, "it is no JSON object: %v", err)
	}
	for name := range c.fields {
		if !allowedFields[name] {
			return nil, granitehoist.Errorf(granitehoist.Unsupported, "field %q", name)
		}
	}
	if err := c.field("model", &c.model); err != nil {
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

// field decodes one field, if it is there and not null.
func (c *completion) field(name string, into any) error {
	raw, ok := c.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return granitehoist.Errorf(granitehoist.BadRequest, "field %q has the wrong type", name)
	}
	return nil
}

// readStream reads whether the answer is a stream, and whether the caller wants
// the usage in it.
func (c *completion) readStream() error {
	if err := c.field("stream", &c.stream); err != nil {
		return err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := c.field("stream_options", &options); err != nil {
		return err
	}
	c.wantsUsage = options.IncludeUsage
	return nil
}

// readMaxTokens reads the caller's maximum, which may stand in either of two
// fields, or in both if they agree.
func (c *completion) readMaxTokens() error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var n *float64
		if err := c.field(name, &n); err != nil {
			return granitehoist.Errorf(granitehoist.BadTokenCount, "field %q is no number", name)
		}
		if n == nil {
			continue
		}
		if *n != math.Trunc(*n) || *n < 1 || *n > float64(maxTokenCount) {
			return granitehoist.Errorf(granitehoist.BadTokenCount, "field %q is a whole number from 1 to %d", name, maxTokenCount)
		}
		tokens := granitehoist.Tokens(*n)
		if c.maxTokens != nil && *c.maxTokens != tokens {
			return granitehoist.Errorf(granitehoist.BadTokenCount, "max_tokens and max_completion_tokens differ")
		}
		c.maxTokens = &tokens
	}
	return nil
}

// readChoices reads how many answers the caller asks for, one if it does not say.
func (c *completion) readChoices() error {
	if err := c.field("n", &c.choices); err != nil {
		return err
	}
	if c.choices < 1 || c.choices > maxChoices {
		return granitehoist.Errorf(granitehoist.BadTokenCount, "field \"n\" is from 1 to %d", maxChoices)
	}
	return nil
}

// upstreamBody returns the body for the engine: the caller's, with the maximum
// output written out, the usage asked for and the priority set.
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

// enginePriority returns the priority that an engine is sent. Engines serve a
// smaller number first, callers and policies count the other way.
func enginePriority(p granitehoist.Priority) granitehoist.Priority {
	return granitehoist.MaxPriority - p
}
