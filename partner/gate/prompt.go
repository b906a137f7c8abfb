// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"fmt"

	"granitehoist.example/granitehoist"
)

// chatMessage is a chat message as its undecoded fields.
type chatMessage map[string]json.RawMessage

type contentPart struct {
	Type string `json:"type"`
}

// readPrompt reads the prompt. It rejects content other than text, since the maximum cost is
// computed from the size of the prompt, which bounds the tokens only of text.
func (c *completion) readPrompt() error {
	messages, chat := c.fields["messages"]
	prompt, plain := c.fields["prompt"]
	switch {
	case chat && plain:
		return granitehoist.Errorf(granitehoist.BadRequest, "the body has both \"messages\" and \"prompt\"")
	case chat:
		return c.readMessages(messages)
	case plain:
		return c.readPlainPrompt(prompt)
	}
	return granitehoist.Errorf(granitehoist.BadRequest, "the body has neither \"messages\" nor \"prompt\"")
}

// maxPlainPrefixBytes is the size of the part of a plain prompt, in its JSON encoding, that
// is hashed for upstream affinity.
const maxPlainPrefixBytes = 1024

// readPlainPrompt reads a prompt that is a single string.
func (c *completion) readPlainPrompt(raw json.RawMessage) error {
	c.prefix = raw[:min(len(raw), maxPlainPrefixBytes)]
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return granitehoist.Errorf(granitehoist.Unsupported, "field \"prompt\" must be a single string")
	}
	c.textBytes = len(text)
	return nil
}

// readMessages reads the messages of a chat prompt.
func (c *completion) readMessages(raw json.RawMessage) error {
	var messages []chatMessage
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return granitehoist.Errorf(granitehoist.BadRequest, "field \"messages\" must be a non-empty list of messages")
	}
	c.messages = len(messages)
	c.prefix = sharedPrefix(messages)
	for i, m := range messages {
		if err := checkContent(m["content"]); err != nil {
			return granitehoist.Errorf(granitehoist.Unsupported, "message %d: %v", i, err)
		}
		c.textBytes += m.textBytes()
	}
	return nil
}

// sharedPrefix returns the part of a conversation that all its turns have in common: the
// contents up to and including the first user message. This message is included so that
// conversations with the same system prompt are spread over the upstreams
// (docs/design/requests.md).
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

// textBytes returns the size of a message's text, which is also the most tokens that the text
// can have. It is the bytes of the content and role. If the message has content parts or
// other fields, it is the bytes of the names and values of all fields.
func (m chatMessage) textBytes() int {
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

// checkContent rejects content that may have more tokens than bytes, such as a reference to
// an image.
func checkContent(raw json.RawMessage) error {
	var text string
	if len(raw) == 0 || string(raw) == "null" || json.Unmarshal(raw, &text) == nil {
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("content must be a string or a list of parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q", part.Type)
		}
	}
	return nil
}
