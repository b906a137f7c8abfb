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

// CompletionRequest is what an engine reads of a request.
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

// ChatMessage is one message of a chat, of the caller or of the engine, or a
// piece of one in a stream, which has no role.
type ChatMessage struct {
	Role    string      `json:"role,omitempty"`
	Content ChatContent `json:"content"`
}

// ChatContent is the text of a message. Callers send it as text or as a list of
// parts, of which those of type "text" count.
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

// What the engine's stand-in counts.
const (
	// messageTokens is what a chat message costs beyond its text.
	messageTokens = 4
	// bytesPerToken is the bytes of text that make a token.
	bytesPerToken = 4
	// leastWords and moreWords make answers of 4 to 31 words.
	leastWords = 4
	// moreWords is the number of different lengths.
	moreWords = 28
)

// prompt returns the text that the answer depends on, and its tokens.
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

// Cost returns what an engine counts for a prompt of one chat message.
func Cost(prompt string, limit int) granitehoist.Tokens {
	request := CompletionRequest{Messages: []ChatMessage{{Content: ChatContent(prompt)}}}
	_, tokens := request.prompt()
	return tokens + granitehoist.Tokens(len(Answer(prompt, limit)))
}

// Answer returns the words that an engine answers to a prompt: one token each,
// at most limit. It depends on nothing else, so a caller can check it.
func Answer(prompt string, limit int) []string {
	seed := xxhash.Sum64String(prompt)
	count := min(limit, leastWords+int(seed%moreWords))
	words := make([]string, count)
	for i := range words {
		words[i] = fmt.Sprintf("w%04x", (seed>>(i%48))&0xffff)
	}
	return words
}

// Choice is the one choice of a Completion: text, a message, or the next piece
// of a streamed message.
type Choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// Completion is an engine's answer, or one event of a streamed answer.
type Completion struct {
	ID      string                `json:"id"`
	Object  string                `json:"object"`
	Model   string                `json:"model"`
	Choices []Choice              `json:"choices"`
	Usage   *upstream.EngineUsage `json:"usage,omitempty"`
}
