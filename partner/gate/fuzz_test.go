// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"granitehoist.example/granitehoist"
)

// FuzzChat sends arbitrary bodies. None may cause a panic, leave tokens reserved, reach
// an upstream after a refusal, or reach one without a maximum of output tokens.
func FuzzChat(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(`{"model":"m","n":8,"max_tokens":1e2,"stream":true,"messages":[{"role":"system","content":null},{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":null,"tools":[{}],"messages":[{}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":-0,"messages":[{"role":"user","content":"\ud800"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newFixture()
		got := s.chat(string(body))
		available, reserved := s.budgets.state()
		if reserved != 0 {
			t.Fatalf("%d tokens still reserved", reserved)
		}
		if got.status != http.StatusOK {
			if got.execution != granitehoist.NotRun || s.engine.count() != 0 || available != 10_000 {
				t.Fatalf("refused with %v as %q after %d calls, %d tokens left", got.code, got.execution, s.engine.count(), available)
			}
			return
		}
		var sent struct {
			MaxTokens granitehoist.Tokens `json:"max_tokens"`
		}
		if err := json.Unmarshal(s.engine.calls[0].Body, &sent); err != nil || sent.MaxTokens < 1 || sent.MaxTokens > 100 {
			t.Fatalf("sent with max_tokens %d: %v", sent.MaxTokens, err)
		}
	})
}
