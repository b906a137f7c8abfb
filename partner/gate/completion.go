// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"fmt"
	"math"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// Tokens that an engine's template may add to a prompt: for each message, and
// for the whole. Both are upper bounds.
const (
	templateMessageTokens = 16
	templateTokens        = 64
	// toolFactor bounds what the template may make of the tools' text.
	toolFactor    = 2
	maxChoices    = 8
	maxTokenCount = granitehoist.Tokens(math.MaxInt32)
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

// completion is a completion request as a caller sent it.
type completion struct {
	fields    map[string]json.RawMessage
	bodyBytes int
	// textBytes bounds the tokens of the prompt's own text.
	textBytes  int
	model      granitehoist.Model
	stream     bool
	wantsUsage bool
	choices    granitehoist.Tokens
	messages   int
	maxTokens  *granitehoist.Tokens
	// prefix is what requests are compared by when an upstream is chosen.
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
	if err := c.readCounts(); err != nil {
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

func (c *completion) readCounts() error {
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
	if err := c.field("n", &c.choices); err != nil {
		return err
	}
	if c.choices < 1 || c.choices > maxChoices {
		return granitehoist.Errorf(granitehoist.BadTokenCount, "field \"n\" is from 1 to %d", maxChoices)
	}
	return nil
}

// chatMessage is one message by its fields.
type chatMessage map[string]json.RawMessage

type contentPart struct {
	Type string `json:"type"`
}

// readPrompt checks that the prompt is text alone, whose tokens its bytes
// bound.
func (c *completion) readPrompt() error {
	messages, chat := c.fields["messages"]
	prompt, plain := c.fields["prompt"]
	switch {
	case chat && plain:
		return granitehoist.Errorf(granitehoist.BadRequest, "it has both \"messages\" and \"prompt\"")
	case chat:
		return c.readMessages(messages)
	case plain:
		c.prefix = prompt[:min(len(prompt), plainPrefixBytes)]
		var text string
		if err := json.Unmarshal(prompt, &text); err != nil {
			return granitehoist.Errorf(granitehoist.Unsupported, "field \"prompt\" is one text")
		}
		c.textBytes = len(text)
		return nil
	}
	return granitehoist.Errorf(granitehoist.BadRequest, "it has neither \"messages\" nor \"prompt\"")
}

func (c *completion) readMessages(raw json.RawMessage) error {
	var messages []chatMessage
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return granitehoist.Errorf(granitehoist.BadRequest, "field \"messages\" is a list of at least one message")
	}
	c.messages = len(messages)
	c.prefix = sharedPrefix(messages)
	for i, m := range messages {
		if err := checkContent(m["content"]); err != nil {
			return granitehoist.Errorf(granitehoist.Unsupported, "message %d: %v", i, err)
		}
		c.textBytes += m.size()
	}
	return nil
}

// plainPrefixBytes is the length of a plain prompt's beginning in bytes.
const plainPrefixBytes = 1024

// sharedPrefix returns the part of a conversation that all its turns share: the
// messages up to the first of the user.
func sharedPrefix(messages []chatMessage) []byte {
	var shared []byte
	for _, m := range messages {
		shared = append(shared, m["content"]...)
		if string(m["role"]) == `"user"` {
			break
		}
	}
	return shared
}

// size bounds the tokens of a message's text: the bytes of its content, or, if
// it has parts or more fields than role and content, all its bytes.
func (m chatMessage) size() int {
	var content, role string
	simple := len(m) == 2 && json.Unmarshal(m["content"], &content) == nil && json.Unmarshal(m["role"], &role) == nil
	if simple {
		return len(content) + len(role)
	}
	size := 0
	for name, raw := range m {
		size += len(name) + len(raw)
	}
	return size
}

func checkContent(raw json.RawMessage) error {
	var text string
	if len(raw) == 0 || string(raw) == "null" || json.Unmarshal(raw, &text) == nil {
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("its content is neither text nor a list of parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("a part of type %q", part.Type)
		}
	}
	return nil
}

// maxOutput returns the output tokens of one choice that the service allows.
func (c *completion) maxOutput(s config.Service) granitehoist.Tokens {
	if c.maxTokens == nil {
		return s.DefaultOutput
	}
	return min(*c.maxTokens, s.MaxOutput)
}

// bound returns an upper bound of the request's cost: each byte of the prompt's
// text is at most one token, the template adds a bounded number, and each
// choice at most its maximum.
func (c *completion) bound(s config.Service) granitehoist.Tokens {
	extra := toolFactor * (len(c.fields["tools"]) + len(c.fields["response_format"]))
	prompt := granitehoist.Tokens(c.textBytes + templateTokens + c.messages*templateMessageTokens + extra)
	return prompt + c.choices*c.maxOutput(s)
}

// forward returns the body for the engine: the caller's, with the maximum
// output written out, the usage asked for and the priority set. Engines serve
// a smaller number first.
func (c *completion) forward(s config.Service, p granitehoist.Priority) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+3)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = c.maxOutput(s)
	fields["priority"] = granitehoist.MaxPriority - p
	if c.stream {
		fields["stream_options"] = map[string]bool{"include_usage": true}
	}
	return json.Marshal(fields)
}
