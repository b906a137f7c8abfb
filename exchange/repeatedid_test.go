// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"granitehoist.example/granitehoist/exchange"
)

// repeatingUpstream answers the first request of each connection with status 503, and each
// further one with that first answer, sent once more, and status 200.
type repeatingUpstream struct {
	listener net.Listener

	mu sync.Mutex
	// opened counts the connections, runs the requests with status 200 by their id.
	opened int
	runs   map[string]int
}

func newRepeatingUpstream(t *testing.T) *repeatingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &repeatingUpstream{listener: listener, runs: map[string]int{}}
	go u.accept()
	// Closing the listener ends accept.
	t.Cleanup(func() { _ = listener.Close() })
	return u
}

func (u *repeatingUpstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.opened++
		u.mu.Unlock()
		go u.serve(c)
	}
}

func (u *repeatingUpstream) serve(c net.Conn) {
	// The client closes the connection at the end of the test.
	defer func() { _ = c.Close() }()
	reader, first := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, status := r.Header.Get("Id"), http.StatusServiceUnavailable
		if first != "" {
			status = http.StatusOK
			u.mu.Lock()
			u.runs[id]++
			u.mu.Unlock()
		}
		answer := fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n", status, id)
		if _, err := io.WriteString(c, first+answer); err != nil {
			return
		}
		if first == "" {
			first = answer
		}
	}
}

// send makes one exchange and returns its status.
func (u *repeatingUpstream) send(t *testing.T, pool *exchange.Pool, id string) int {
	t.Helper()
	response, err := pool.Do(context.Background(), exchange.Request{
		Address: u.listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h",
		Header:  http.Header{"Id": {id}},
		ID:      id,
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if _, err := io.Copy(io.Discard, response); err != nil {
		t.Fatal(err)
	}
	return response.Status
}

// TestRepeatedIDGetsNoOlderResponse guards against a request that gets the response to an
// earlier request with the same id, sent once more on the connection that both used.
func TestRepeatedIDGetsNoOlderResponse(t *testing.T) {
	for name, between := range map[string][]string{
		"at once":                       nil,
		"after requests with other ids": {"r-2", "r-3"},
		"after many requests":           make([]string, 12),
	} {
		t.Run(name, func(t *testing.T) {
			u, pool := newRepeatingUpstream(t), exchange.NewPool(exchange.Settings{})
			defer pool.Close()
			u.send(t, pool, "r-1")
			for i, id := range between {
				if id == "" {
					id = fmt.Sprint("other-", i)
				}
				u.send(t, pool, id)
			}
			status := u.send(t, pool, "r-1")
			u.mu.Lock()
			defer u.mu.Unlock()
			if ran := u.runs["r-1"] > 0; ran != (status == http.StatusOK) {
				t.Errorf("status %d, and the request ran %d times", status, u.runs["r-1"])
			}
		})
	}
}
