// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/suspect"
)

func facts() suspect.Facts {
	return suspect.Facts{Method: "POST", Host: "h.example", Target: "/a/x?y=1", Workspace: "kiosk", Body: []byte("question"), Key: "a-key"}
}

var _ = Describe("The digest of a request", func() {
	It("is the same for the same request", func() {
		a, b := facts(), facts()
		Expect(a.Digest()).To(Equal(b.Digest()))
	})

	DescribeTable("differs with each fact", func(change func(*suspect.Facts)) {
		same, other := facts(), facts()
		change(&other)
		Expect(other.Digest()).NotTo(Equal(same.Digest()))
	},
		Entry("the method", func(f *suspect.Facts) { f.Method = "PUT" }),
		Entry("the host", func(f *suspect.Facts) { f.Host = "i.example" }),
		Entry("the path", func(f *suspect.Facts) { f.Target = "/a/z?y=1" }),
		Entry("the query", func(f *suspect.Facts) { f.Target = "/a/x?y=2" }),
		Entry("the workspace", func(f *suspect.Facts) { f.Workspace = "clerk" }),
		Entry("the body", func(f *suspect.Facts) { f.Body = []byte("question ") }),
		Entry("where a field ends", func(f *suspect.Facts) { f.Method, f.Host = "POSTh", ".example" }),
	)

	It("holds neither the key nor the body", func() {
		f := facts()
		text := f.Digest().String()
		Expect(text).To(HaveLen(32))
		Expect(strings.Contains(text, "question") || strings.Contains(text, "a-key")).To(BeFalse())
	})
})

func BenchmarkDigest(b *testing.B) {
	f := facts()
	f.Body = []byte(strings.Repeat("question", 64))
	b.ReportAllocs()
	for b.Loop() {
		_ = f.Digest()
	}
}
