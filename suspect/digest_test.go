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

func requestKey() suspect.RequestKey {
	return suspect.RequestKey{Method: "POST", Host: "h.example", Target: "/a/x?y=1", Workspace: "kiosk", Body: []byte("question")}
}

// newTable returns a table with a secret.
func newTable() *suspect.Table {
	t := suspect.New(suspect.Settings{})
	t.SetSecret(suspect.Secret{1})
	return t
}

func digestOf(f suspect.RequestKey) suspect.Digest {
	GinkgoHelper()
	d, known := newTable().Digest(&f)
	Expect(known).To(BeTrue())
	return d
}

var _ = Describe("The digest of a request", func() {
	It("is the same for the same request", func() {
		Expect(digestOf(requestKey())).To(Equal(digestOf(requestKey())))
	})

	DescribeTable("differs if one field differs", func(change func(*suspect.RequestKey)) {
		other := requestKey()
		change(&other)
		Expect(digestOf(other)).NotTo(Equal(digestOf(requestKey())))
	},
		Entry("the method", func(f *suspect.RequestKey) { f.Method = "PUT" }),
		Entry("the host", func(f *suspect.RequestKey) { f.Host = "i.example" }),
		Entry("the path", func(f *suspect.RequestKey) { f.Target = "/a/z?y=1" }),
		Entry("the query", func(f *suspect.RequestKey) { f.Target = "/a/x?y=2" }),
		Entry("the workspace", func(f *suspect.RequestKey) { f.Workspace = "clerk" }),
		Entry("the body", func(f *suspect.RequestKey) { f.Body = []byte("question ") }),
		Entry("the boundary between two fields", func(f *suspect.RequestKey) { f.Method, f.Host = "POSTh", ".example" }),
	)

	It("does not contain the body", func() {
		text := digestOf(requestKey()).String()
		Expect(text).To(HaveLen(32))
		Expect(text).NotTo(ContainSubstring("question"))
	})

	It("differs under another secret", func() {
		other := suspect.New(suspect.Settings{})
		other.SetSecret(suspect.Secret{2})
		f := requestKey()
		d, known := other.Digest(&f)
		Expect(known).To(BeTrue())
		Expect(d).NotTo(Equal(digestOf(requestKey())))
	})

	It("is unknown until a secret is set, and later secrets are ignored", func() {
		t, f := suspect.New(suspect.Settings{}), requestKey()
		_, known := t.Digest(&f)
		Expect(known).To(BeFalse())
		t.SetSecret(suspect.Secret{1})
		t.SetSecret(suspect.Secret{2})
		d, known := t.Digest(&f)
		Expect(known).To(BeTrue())
		Expect(d).To(Equal(digestOf(requestKey())))
	})
})

func BenchmarkDigest(b *testing.B) {
	f := requestKey()
	f.Body = []byte(strings.Repeat("question", 64))
	t := newTable()
	b.ReportAllocs()
	for b.Loop() {
		t.Digest(&f)
	}
}
