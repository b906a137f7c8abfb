// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"fmt"

	"granitehoist.example/granitehoist"
)

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
		return c.readPlainPrompt(prompt)
	}
	return granitehoist.Errorf(granitehoist.BadRequest, "it has neither \"messages\" nor \"prompt\"")
}

// plainPrefixBytes is the part of a plain prompt by which requests share an upstream, in
// bytes of its JSON.
const plainPrefixBytes = 1024

// readPlainPrompt reads a prompt that is one text.
func (c *completion) readPlainPrompt(raw json.RawMessage) error {
	c.prefix = raw[:min(len(raw), plainPrefixBytes)]
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return granitehoist.Errorf(granitehoist.Unsupported, "field \"prompt\" is one text")
	}
	c.textBytes = len(text)
	return nil
}

// readMessages reads the messages of a chat.
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
		c.textBytes += m.textBytes()
	}
	return nil
}

// sharedPrefix returns the part of a conversation that all its turns share: the
// messages up to the first of the user. Conversations that share only a system
// prompt differ in it, so that they don't all meet at one upstream
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

// textBytes bounds the tokens of a message's text: the bytes of its content and
// role, or, if it has parts or other fields, all its bytes.
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

// checkContent refuses content whose tokens its bytes don't bound, such as a
// picture.
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
