// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// Most tokens that an engine adds to the text of a prompt (docs/design/budgets.md).
const (
	// templateMessageTokens is added by the chat template for each message.
	templateMessageTokens = 16
	// templateTokens is added by the template once for each prompt.
	templateTokens = 64
	// schemaTokensPerByte is the most tokens that the template produces for each byte of
	// the tools and the response format.
	schemaTokensPerByte = 2
)

// promptSize is the input of maxPromptTokens.
type promptSize struct {
	// textBytes is the size of the prompt's text.
	textBytes int
	messages  int
	// schemaBytes is the size of the tools and the response format.
	schemaBytes int
}

// maxPromptTokens returns the most tokens that a prompt can have. Each byte of text is at
// most one token, since a token of a byte-level tokenizer covers at least one byte. The
// template adds at most the numbers defined above.
func maxPromptTokens(p promptSize) granitehoist.Tokens {
	return granitehoist.Tokens(p.textBytes + templateTokens + p.messages*templateMessageTokens + schemaTokensPerByte*p.schemaBytes)
}

// maxOutputTokens returns the maximum output tokens of one choice. This is the requested
// number, capped at the maximum of the service. If requested is nil, it is the default of the
// service.
func maxOutputTokens(requested *granitehoist.Tokens, s config.Service) granitehoist.Tokens {
	if requested == nil {
		return s.DefaultOutput
	}
	return min(*requested, s.MaxOutput)
}

// maxOutput returns the maximum output tokens of one choice.
func (c *completion) maxOutput(s config.Service) granitehoist.Tokens {
	return maxOutputTokens(c.maxTokens, s)
}

// maxCost returns the most tokens that one attempt of the request can cost. They are reserved
// before the attempt is sent.
func (c *completion) maxCost(s config.Service) granitehoist.Tokens {
	prompt := promptSize{
		textBytes:   c.textBytes,
		messages:    c.messages,
		schemaBytes: len(c.fields["tools"]) + len(c.fields["response_format"]),
	}
	return maxPromptTokens(prompt) + c.choices*c.maxOutput(s)
}
