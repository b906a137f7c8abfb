// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"granitehoist.example/granitehoist"
)

// FuzzChat sends arbitrary bodies. None may panic, keep tokens reserved, reach
// an upstream after a refusal, or reach it without a bound of its output.
func FuzzChat(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(`{"model":"m","n":8,"max_tokens":1e2,"stream":true,"messages":[{"role":"system","content":null},{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":null,"tools":[{}],"messages":[{}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":-0,"messages":[{"role":"user","content":"\ud800"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newSite()
		answer := s.chat(string(body))
		left, reserved := s.funds.state()
		if reserved != 0 {
			t.Fatalf("%d tokens stay reserved", reserved)
		}
		if answer.status != http.StatusOK {
			if answer.fate != granitehoist.NotRun || s.engine.count() != 0 || left != 10_000 {
				t.Fatalf("refused with %v as %q after %d calls, %d tokens left", answer.code, answer.fate, s.engine.count(), left)
			}
			return
		}
		var sent struct {
			MaxTokens granitehoist.Tokens `json:"max_tokens"`
		}
		if err := json.Unmarshal(s.engine.calls[0].Body, &sent); err != nil || sent.MaxTokens < 1 || sent.MaxTokens > 100 {
			t.Fatalf("sent with a bound of %d: %v", sent.MaxTokens, err)
		}
	})
}
