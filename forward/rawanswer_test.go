// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// answerRaw starts an upstream that answers each connection with bytes, whatever they are, and
// then closes or resets it. It returns its address.
func answerRaw(t testing.TB, bytes func() (text string, reset bool)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// Closing the listener ends the loop.
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			text, reset := bytes()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				// The rest of the request doesn't matter to the answer.
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				// Let the bytes arrive before the reset, which discards those that were not read.
				time.Sleep(2 * time.Millisecond)
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return listener.Addr().String()
}

// serveRaw serves a request that must not run twice before an upstream that answers with text.
func serveRaw(t *testing.T, text string) error {
	t.Helper()
	RegisterTestingT(t)
	s := newFixture()
	address := answerRaw(t, func() (string, bool) { return text, false })
	s.table.Announce(balance.Instance{ID: "i-1", Service: desk, Address: address, Version: 1}, time.Now())
	_, err := s.forwarder.Serve(context.Background(), request("/unsafe/x"), &fakeSink{})
	return err
}

// TestContradictoryRefusal guards against a request that is refused as not run because of a
// head that doesn't prove it.
func TestContradictoryRefusal(t *testing.T) {
	const id, sealed = "Attempt-Id: r-1\r\n", "Response-Seal: x\r\n"
	const end = "Content-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"a success":                       "HTTP/1.1 200 OK\r\n" + id + sealed + "Not-Executed: 1\r\n" + end,
		"a success without a seal":        "HTTP/1.1 200 OK\r\n" + id + "Not-Executed: 1\r\n" + end,
		"a failure":                       "HTTP/1.1 500 x\r\n" + id + sealed + "Not-Executed: 1\r\n" + end,
		"the end of the upstream's time":  "HTTP/1.1 504 x\r\n" + id + sealed + "Not-Executed: 1\r\n" + end,
		"a redirection":                   "HTTP/1.1 307 x\r\n" + id + "Not-Executed: 1\r\n" + end,
		"the value false":                 "HTTP/1.1 503 x\r\n" + id + "Not-Executed: 0\r\n" + end,
		"two values":                      "HTTP/1.1 503 x\r\n" + id + "Not-Executed: 1\r\nNot-Executed: 0\r\n" + end,
		"a head cut within the value":     "HTTP/1.1 503 x\r\n" + "Not-Executed: 1HTTP/1.1 200 OK\r\n" + id + sealed + end,
		"two ids":                         "HTTP/1.1 503 x\r\n" + id + "Attempt-Id: r-0\r\nNot-Executed: 1\r\n" + end,
		"two ids, the own one last":       "HTTP/1.1 503 x\r\nAttempt-Id: r-0\r\n" + id + "Not-Executed: 1\r\n" + end,
		"no id":                           "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n" + end,
		"a head without its end":          "HTTP/1.1 503 x\r\n" + id + "Not-Executed: 1\r\n",
		"a status line without its end":   "HTTP/1.1 503 Service Unav",
		"no statement":                    "HTTP/1.1 503 x\r\n" + id + end,
		"no statement, with a seal":       "HTTP/1.1 429 x\r\n" + id + sealed + end,
		"an interim statement":            "HTTP/1.1 103 x\r\n" + id + "Not-Executed: 1\r\n\r\n",
		"a statement in a trailer":        "HTTP/1.1 503 x\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n0\r\nNot-Executed: 1\r\n\r\n",
		"a statement in the body":         "HTTP/1.1 503 x\r\n" + id + "Content-Length: 17\r\n\r\nNot-Executed: 1\r\n",
		"an earlier answer's refusal":     "HTTP/1.1 503 x\r\nAttempt-Id: r-0\r\nNot-Executed: 1\r\n" + end,
		"another instance without its id": "HTTP/1.1 421 x\r\n" + end,
	} {
		t.Run(name, func(t *testing.T) {
			if err := serveRaw(t, text); granitehoist.CodeOf(err).Info().Execution == granitehoist.NotRun {
				t.Errorf("refused as not run: %v", err)
			}
		})
	}
}

// TestRefusal guards against a rejection that is not believed.
func TestRefusal(t *testing.T) {
	for name, text := range map[string]string{
		"full":                    "HTTP/1.1 503 x\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"full, with a seal":       "HTTP/1.1 503 x\r\nAttempt-Id: r-1\r\nResponse-Seal: x\r\nNot-Executed: true\r\nContent-Length: 0\r\n\r\n",
		"too many requests":       "HTTP/1.1 429 x\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"another instance":        "HTTP/1.1 421 x\r\nAttempt-Id: r-1\r\nContent-Length: 0\r\n\r\n",
		"invalid":                 "HTTP/1.1 400 x\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"full, after an interim":  "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 503 x\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"full, after a stale one": "HTTP/1.1 200 x\r\nAttempt-Id: r-0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 x\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"full, with a cut body":   "HTTP/1.1 503 x\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			if err := serveRaw(t, text); granitehoist.CodeOf(err).Info().Execution != granitehoist.NotRun {
				t.Errorf("not refused as not run: %v", err)
			}
		})
	}
}
