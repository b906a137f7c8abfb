// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
)

// These specs guard against routers that run out of memory, or wait without an end, beside an
// upstream whose responses have none.
var _ = Describe("A response without an end", func() {
	const (
		within   = 20 * time.Second
		maxTaken = 128 << 20
	)
	// startEndless returns the address of an upstream that repeats text after a head, and the
	// number of bytes that were taken from it.
	startEndless := func(head, text string) (string, *atomic.Int64) {
		taken := &atomic.Int64{}
		block := []byte(strings.Repeat(text, max(1, 1<<16/len(text))))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte(head)); err != nil {
				return
			}
			for {
				n, err := conn.Write(block)
				taken.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		DeferCleanup(server.Close)
		return server.URL, taken
	}
	const (
		unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	DescribeTable("is ended",
		func(head, text string, stream bool) {
			address, taken := startEndless(head, text)
			for _, protocol := range []granitehoist.Protocol{upstream.NewPlain(), upstream.NewEngine()} {
				ctx, cancel := context.WithTimeout(context.Background(), within)
				defer cancel()
				taken.Store(0)
				_, err := protocol.Do(ctx, granitehoist.Call{Attempt: "a-1", Address: address, Method: http.MethodPost, Path: "/x", Stream: stream}, discardSink{})
				Expect(err).To(HaveOccurred())
				Expect(granitehoist.CodeOf(err).Info().Execution).To(Equal(granitehoist.MayHaveRun))
				Expect(ctx.Err()).NotTo(HaveOccurred())
				Expect(taken.Load()).To(BeNumerically("<", maxTaken))
				_, err = protocol.List(ctx, address, "a")
				if _, plain := protocol.(*upstream.Plain); !plain {
					Expect(err).To(HaveOccurred())
				}
			}
		},
		Entry("in its first line", "", "x", false),
		Entry("in its header", "HTTP/1.1 200 OK\r\n", "Field: value\r\n", false),
		Entry("in interim responses", "", "HTTP/1.1 103 Early Hints\r\nField: value\r\n\r\n", false),
		Entry("in its body", unframed, "x", false),
		Entry("in a chunk size", chunked, "0", false),
		Entry("in an event", unframed+"data: ", "x", true),
		Entry("in lines without events", unframed, ": comment\n", true),
	)
})

// discardSink is a Sink that discards responses.
type discardSink struct{}

// Start implements granitehoist.Sink.
func (discardSink) Start(int, http.Header) error { return nil }

// Write implements granitehoist.Sink.
func (discardSink) Write([]byte) error { return nil }
