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

// brokenWriter is an io.Writer that always fails.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken") }

var _ = Describe("Writing a request", func() {
	sendAll := func(w *writeProgress, to io.Writer, message string) {
		w.result <- w.send(to, []byte(message))
	}
	large := strings.Repeat("x", 3*finalChunkBytes)

	DescribeTable("is complete",
		func(prepare func(*writeProgress), expected bool) {
			w := newWriteProgress()
			prepare(w)
			Expect(w.complete()).To(Equal(expected))
		},
		Entry("not before it starts", func(*writeProgress) {}, false),
		Entry("when a small request was written", func(w *writeProgress) { sendAll(w, io.Discard, "small") }, true),
		Entry("when a large request was written", func(w *writeProgress) { sendAll(w, io.Discard, large) }, true),
		Entry("not if the connection failed", func(w *writeProgress) { sendAll(w, brokenWriter{}, "small") }, false),
		Entry("not if the connection failed before the last chunk", func(w *writeProgress) { sendAll(w, brokenWriter{}, large) }, false),
		Entry("not if no result arrives", func(w *writeProgress) { w.finalChunkStarted.Store(true) }, false),
	)

	It("does not start the last chunk while the peer does not read", func() {
		reader, writer := io.Pipe()
		w := newWriteProgress()
		done := make(chan struct{})
		go func() {
			defer close(done)
			sendAll(w, writer, large)
		}()
		_, err := io.ReadFull(reader, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.complete()).To(BeFalse())
		Expect(reader.Close()).To(Succeed())
		<-done
	})

	It("sends every byte in order", func() {
		var sent bytes.Buffer
		message := strings.Repeat("0123456789", finalChunkBytes)
		sendAll(newWriteProgress(), &sent, message)
		Expect(sent.String() == message).To(BeTrue())
	})
})
