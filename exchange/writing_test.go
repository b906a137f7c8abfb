// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"bytes"
	"errors"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// brokenWriter fails every call.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken") }

var _ = Describe("The writing of a request", func() {
	report := func(w *writing, to io.Writer, message string) {
		w.ended <- w.send(to, []byte(message))
	}
	large := strings.Repeat("x", 3*lastPieceBytes)

	DescribeTable("is complete",
		func(prepare func(*writing), expected bool) {
			w := newWriting()
			prepare(w)
			Expect(w.complete()).To(Equal(expected))
		},
		Entry("not before it begins", func(*writing) {}, false),
		Entry("when a small request was written", func(w *writing) { report(w, io.Discard, "small") }, true),
		Entry("when a large request was written", func(w *writing) { report(w, io.Discard, large) }, true),
		Entry("not if the connection broke", func(w *writing) { report(w, brokenWriter{}, "small") }, false),
		Entry("not if the connection broke early", func(w *writing) { report(w, brokenWriter{}, large) }, false),
		Entry("not if nothing reports its end", func(w *writing) { w.lastBegun.Store(true) }, false),
	)

	It("has not begun its last piece while the peer takes nothing", func() {
		reader, writer := io.Pipe()
		w := newWriting()
		done := make(chan struct{})
		go func() {
			defer close(done)
			report(w, writer, large)
		}()
		_, err := io.ReadFull(reader, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.complete()).To(BeFalse())
		Expect(reader.Close()).To(Succeed())
		<-done
	})

	It("sends every byte in order", func() {
		var sent bytes.Buffer
		message := strings.Repeat("0123456789", lastPieceBytes)
		report(newWriting(), &sent, message)
		Expect(sent.String() == message).To(BeTrue())
	})
})
