// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// Upper bounds of the tokens that an engine adds to the text of a prompt
// (docs/design/budgets.md).
const (
	// templateMessageTokens is added by the chat template for each message.
	templateMessageTokens = 16
	// templateTokens is added by the template once for each prompt.
	templateTokens = 64
	// schemaTokensPerByte is the number of tokens that the template produces for each byte
	// of the tools and the response format.
	schemaTokensPerByte = 2
)

// promptSize is the input of promptBound.
type promptSize struct {
	// textBytes is the size of the prompt's text.
	textBytes int
	messages  int
	// schemaBytes is the size of the tools and the response format.
	schemaBytes int
}

// promptBound returns an upper bound of the tokens of a prompt. Each byte of text is at
// most one token, since a token of a byte-level tokenizer covers at least one byte. The
// template adds a bounded number.
func promptBound(p promptSize) granitehoist.Tokens {
	return granitehoist.Tokens(p.textBytes + templateTokens + p.messages*templateMessageTokens + schemaTokensPerByte*p.schemaBytes)
}

// outputBound returns the maximum output tokens of one choice: the requested number,
// capped at the maximum of the service, or the default of the service if requested is nil.
func outputBound(requested *granitehoist.Tokens, s config.Service) granitehoist.Tokens {
	if requested == nil {
		return s.DefaultOutput
	}
	return min(*requested, s.MaxOutput)
}

// maxOutput returns the maximum output tokens of one choice.
func (c *completion) maxOutput(s config.Service) granitehoist.Tokens {
	return outputBound(c.maxTokens, s)
}

// bound returns an upper bound of the cost of the request, which is reserved before the
// request is sent.
func (c *completion) bound(s config.Service) granitehoist.Tokens {
	prompt := promptSize{
		textBytes:   c.textBytes,
		messages:    c.messages,
		schemaBytes: len(c.fields["tools"]) + len(c.fields["response_format"]),
	}
	return promptBound(prompt) + c.choices*c.maxOutput(s)
}
