// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/balance"
)

// cutAnswer is an answer of which only the first bytes are sent.
type cutAnswer struct {
	// text is the whole answer, head the length of its head.
	text string
	head int
	// endless is set if the end of the connection is the end of the body.
	endless bool
}

// cutAnswers returns an answer of each framing with a body.
func cutAnswers(contentType, body string) map[string]cutAnswer {
	const fields = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nResponse-Seal: x\r\nContent-Type: %s\r\n%s\r\n"
	of := func(framing, body string) cutAnswer {
		head := fmt.Sprintf(fields, contentType, framing)
		return cutAnswer{text: head + body, head: len(head), endless: framing == ""}
	}
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	return map[string]cutAnswer{
		"with a length":    of(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body),
		"chunked":          of("Transfer-Encoding: chunked\r\n", chunks+"\r\n"),
		"with a trailer":   of("Transfer-Encoding: chunked\r\nTrailer: Late\r\n", chunks+"Late: 1\r\n\r\n"),
		"without a length": of("", body),
	}
}

// TestCutAnswerIsNotWhole guards against an answer that its upstream cut at any byte of its
// head, body, chunks or trailer, and that is relayed as whole.
func TestCutAnswerIsNotWhole(t *testing.T) {
	// The fixtures of the subtests, which run in parallel, report to this test.
	RegisterTestingT(t)
	stream := events(3)
	for path, contentType := range map[string]string{"/safe/x": "text/plain", "/unsafe/x": "text/plain", "/stream/x": "text/event-stream", "/resume/x": "text/event-stream"} {
		body, service := "a whole answer", desk
		if contentType == "text/event-stream" {
			body, service = stream, model
		}
		for name, answer := range cutAnswers(contentType, body) {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s, reset %t", strings.Trim(path, "/x"), name, reset), func(t *testing.T) {
					t.Parallel()
					var cutAt atomic.Int64
					address := answerRaw(t, func() (string, bool) { return answer.text[:cutAt.Load()], reset })
					for sent := range len(answer.text) {
						cutAt.Store(int64(sent))
						s := newFixture()
						s.table.Announce(balance.Instance{ID: "i-1", Service: service, Address: address, Version: 1}, time.Now())
						sink := &fakeSink{}
						_, err := s.forwarder.Serve(context.Background(), request(path), sink)
						// Nobody can tell a body that ends with its connection from a shorter one,
						// unless it is a stream that ends within an event, or a reset.
						betweenEvents := contentType != "text/event-stream" || strings.HasSuffix(answer.text[:sent], "\n\n")
						if answer.endless && !reset && sent >= answer.head && betweenEvents {
							continue
						}
						if err == nil {
							t.Errorf("%d of %d bytes, %d of them the head: relayed with status %d as whole: %q", sent, len(answer.text), answer.head, sink.status, sink.text())
						}
					}
				})
			}
		}
	}
}
