// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("ChatMessage", func() {
	It("decodes content from text or from a list of parts, and no other type", func() {
		var m standin.ChatMessage
		Expect(json.Unmarshal([]byte(`{"role":"user","content":[{"type":"text","text":"which "},{"type":"image_url"},{"type":"text","text":"lock?"}]}`), &m)).To(Succeed())
		Expect(m.Content).To(Equal(standin.ChatContent("which lock?")))
		Expect(json.Unmarshal([]byte(`{"role":"user","content":"text"}`), &m)).To(Succeed())
		Expect(m.Content).To(Equal(standin.ChatContent("text")))
		Expect(json.Unmarshal([]byte(`{"role":"user","content":7}`), &m)).NotTo(Succeed())
	})
})
