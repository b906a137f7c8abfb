// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/standin"
)

const (
	// uploadBytes is more than the socket buffers hold, so that the request is still being
	// written when the response arrives.
	uploadBytes = 12 << 20
	// earlyAttempts is how often a test repeats an exchange whose two sides race.
	earlyAttempts = 20
	// earlyTimeout bounds an exchange.
	earlyTimeout = 5 * time.Second
	earlyHead    = "HTTP/1.1 200 OK\r\nId: r-1\r\n"
	earlyPart    = "part of an answer"
)

// answerEarly starts an upstream that answers the head of a request with text. It returns its
// address.
func answerEarly(t testing.TB, text string, end func(*net.TCPConn)) string {
	t.Helper()
	u, err := standin.NewRawUpstream(text, end)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close() })
	return u.Address()
}

// readEarly sends a request with a body and returns what was read of the response.
func readEarly(address string, body []byte) (string, error) {
	pool := exchange.NewPool(exchange.Settings{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), earlyTimeout)
	defer cancel()
	response, err := pool.Do(ctx, exchange.Request{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h",
		Header: http.Header{"Id": {"r-1"}}, Body: body, ID: "r-1",
		Matches: func(h http.Header) bool { return h.Get("Id") == "r-1" },
	}, time.Now())
	if err != nil {
		return "", err
	}
	defer response.Close()
	got, err := io.ReadAll(response)
	return string(got), err
}

// TestResetEarlyResponseIsNotWhole guards against a response that is taken as whole although its
// upstream reset the connection while the request was being written.
func TestResetEarlyResponseIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		body  []byte
		pause time.Duration
	}{
		"without a length":            {text: earlyHead + "\r\n" + earlyPart, body: make([]byte, uploadBytes), pause: 30 * time.Millisecond},
		"without a length, at once":   {text: earlyHead + "\r\n" + earlyPart, body: make([]byte, uploadBytes)},
		"without a body":              {text: earlyHead + "\r\n", body: make([]byte, uploadBytes), pause: 30 * time.Millisecond},
		"with a length":               {text: earlyHead + "Content-Length: 100\r\n\r\n" + earlyPart, body: make([]byte, uploadBytes), pause: 30 * time.Millisecond},
		"chunked":                     {text: earlyHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nparts\r\n", body: make([]byte, uploadBytes), pause: 30 * time.Millisecond},
		"within the head":             {text: earlyHead, body: make([]byte, uploadBytes), pause: 30 * time.Millisecond},
		"after an interim response":   {text: "HTTP/1.1 103 x\r\n\r\n", body: make([]byte, uploadBytes), pause: 30 * time.Millisecond},
		"after the request was sent":  {text: earlyHead + "\r\n" + earlyPart, body: []byte("short"), pause: 30 * time.Millisecond},
		"with no body in the request": {text: earlyHead + "\r\n" + earlyPart, pause: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := answerEarly(t, c.text, standin.ResetAfter(c.pause))
			for attempt := range earlyAttempts {
				if got, err := readEarly(address, c.body); err == nil {
					t.Errorf("attempt %d: %q is taken as whole", attempt, got)
				}
			}
		})
	}
}

// TestResetBeforeRead guards against a reset that arrives before the body is read, and that
// the writer of the request has been told of meanwhile.
func TestResetBeforeRead(t *testing.T) {
	address := answerEarly(t, earlyHead+"\r\n"+earlyPart, standin.ResetAfter(5*time.Millisecond))
	for attempt := range earlyAttempts {
		pool := exchange.NewPool(exchange.Settings{})
		response, err := pool.Do(context.Background(), exchange.Request{
			Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, uploadBytes),
		}, time.Now())
		if err != nil {
			continue
		}
		time.Sleep(20 * time.Millisecond)
		if got, err := io.ReadAll(response); err == nil {
			t.Errorf("attempt %d: %q is taken as whole", attempt, got)
		}
		response.Close()
	}
}

// TestEarlyResponseIsWhole guards against a sound response that is refused because its request
// was not written to the end.
func TestEarlyResponseIsWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"the upstream reads nothing more": standin.CloseWriteFor(50 * time.Millisecond),
		"the upstream closes its side, then resets the connection": func(c *net.TCPConn) {
			standin.CloseWriteFor(5 * time.Millisecond)(c)
			_ = c.SetLinger(0)
		},
		"the upstream reads the rest": func(c *net.TCPConn) {
			if err := c.CloseWrite(); err == nil {
				_, _ = io.Copy(io.Discard, c)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, size := range []int{uploadBytes, 1 << 20, 5} {
				address := answerEarly(t, earlyHead+"\r\n"+earlyPart, end)
				for attempt := range earlyAttempts {
					if got, err := readEarly(address, make([]byte, size)); err != nil || got != earlyPart {
						t.Errorf("attempt %d with %d bytes: %q, %v", attempt, size, got, err)
					}
				}
			}
		})
	}
}

// TestSlowUploadIsNotLost guards against a response whose end waits for its upstream to read the
// rest of the request, which takes longer than earlyTimeout.
func TestSlowUploadIsNotLost(t *testing.T) {
	address := answerEarly(t, earlyHead+"\r\n"+earlyPart, func(c *net.TCPConn) {
		if err := c.CloseWrite(); err != nil {
			return
		}
		buffer := make([]byte, 1<<10)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	got, err := readEarly(address, []byte(strings.Repeat("x", uploadBytes)))
	if err != nil || got != earlyPart {
		t.Errorf("%q, %v", got, err)
	}
}

// TestCancelledEarlyResponse guards against a response that counts as whole although the
// context ended before its end.
func TestCancelledEarlyResponse(t *testing.T) {
	address := answerEarly(t, earlyHead+"\r\n"+earlyPart, func(*net.TCPConn) { time.Sleep(200 * time.Millisecond) })
	pool := exchange.NewPool(exchange.Settings{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	response, err := pool.Do(ctx, exchange.Request{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, uploadBytes),
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if _, err := io.ReadAll(response); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the error is %v", err)
	}
}
