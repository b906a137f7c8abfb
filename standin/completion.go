// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
)

// CompletionRequest holds the fields of a completion request that an Engine reads.
type CompletionRequest struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	Messages      []ChatMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ChatMessage is a chat message of the caller or the engine or, without a role, a part of
// a streamed message.
type ChatMessage struct {
	Role    string      `json:"role,omitempty"`
	Content ChatContent `json:"content"`
}

// ChatContent is the text of a message. It decodes from a string or from a list of parts,
// of which only those of type "text" are used.
type ChatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *ChatContent) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		*c = ChatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		if part.Type == "text" {
			text += part.Text
		}
	}
	*c = ChatContent(text)
	return nil
}

// The token counts and response lengths of an Engine.
const (
	// messageTokens is the number of tokens of a chat message besides its text.
	messageTokens = 4
	// bytesPerToken is the number of bytes of text per token.
	bytesPerToken = 4
	// minWords is the number of words of the shortest response.
	minWords = 4
	// wordCounts is the number of different response lengths.
	wordCounts = 28
)

// prompt returns the text of the prompt and its number of tokens.
func (c *CompletionRequest) prompt() (string, granitehoist.Tokens) {
	text := c.Prompt
	tokens := 0
	for _, m := range c.Messages {
		text += string(m.Content)
		tokens += messageTokens
	}
	tokens += (len(text) + bytesPerToken - 1) / bytesPerToken
	return text, granitehoist.Tokens(max(1, tokens))
}

// Cost returns the tokens, input and output, that an Engine reports for a prompt of one chat
// message with at most limit output tokens.
func Cost(prompt string, limit int) granitehoist.Tokens {
	request := CompletionRequest{Messages: []ChatMessage{{Content: ChatContent(prompt)}}}
	_, tokens := request.prompt()
	return tokens + granitehoist.Tokens(len(Answer(prompt, limit)))
}

// Answer returns the words of an Engine's response to a prompt, one token each and at most
// limit. It is deterministic, so callers can check responses.
func Answer(prompt string, limit int) []string {
	seed := xxhash.Sum64String(prompt)
	count := min(limit, minWords+int(seed%wordCounts))
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("w%04x", (seed>>(i%48))&0xffff)
	}
	return words
}

// Choice is the single choice of a Completion: text, a message, or a delta of a streamed
// message.
type Choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// Completion is the response of an Engine, or one event of a streamed response.
type Completion struct {
	ID      string                `json:"id"`
	Object  string                `json:"object"`
	Model   string                `json:"model"`
	Choices []Choice              `json:"choices"`
	Usage   *upstream.EngineUsage `json:"usage,omitempty"`
}
