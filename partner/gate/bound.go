// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// Tokens that an engine may add to a prompt's own text. All are upper bounds
// (docs/design/budgets.md).
const (
	// templateMessageTokens is what the chat template adds to each message.
	templateMessageTokens = 16
	// templateTokens is what the template adds to the prompt once.
	templateTokens = 64
	// toolFactor is the tokens that the template may make of each byte of the tools and
	// the response format.
	toolFactor = 2
)

// promptSize is what bounds the tokens of a prompt.
type promptSize struct {
	// textBytes is the size of the prompt's own text.
	textBytes int
	messages  int
	// schemaBytes is the size of the tools and the response format.
	schemaBytes int
}

// promptBound decides how many tokens a prompt can cost at most. Each byte of
// text is at most one token, since every token of a byte-level tokenizer covers
// at least one byte; the template adds a bounded number.
func promptBound(p promptSize) granitehoist.Tokens {
	return granitehoist.Tokens(p.textBytes + templateTokens + p.messages*templateMessageTokens + toolFactor*p.schemaBytes)
}

// outputBound decides how many tokens one choice may have: what the caller
// asked for, within the service's maximum, or the service's default. asked is
// nil if the caller named no maximum.
func outputBound(asked *granitehoist.Tokens, s config.Service) granitehoist.Tokens {
	if asked == nil {
		return s.DefaultOutput
	}
	return min(*asked, s.MaxOutput)
}

// maxOutput returns the output tokens of one choice that the service allows.
func (c *completion) maxOutput(s config.Service) granitehoist.Tokens {
	return outputBound(c.maxTokens, s)
}

// bound returns an upper bound of the request's cost, which is reserved before
// it is sent to an upstream.
func (c *completion) bound(s config.Service) granitehoist.Tokens {
	prompt := promptSize{
		textBytes:   c.textBytes,
		messages:    c.messages,
		schemaBytes: len(c.fields["tools"]) + len(c.fields["response_format"]),
	}
	return promptBound(prompt) + c.choices*c.maxOutput(s)
}
