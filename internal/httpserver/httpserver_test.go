// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package httpserver_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/httpserver"
)

// stepTimeout bounds a step of a test, also while the computer is busy.
const stepTimeout = 20 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve runs a server and returns what Serve will return.
func serve(server *httpserver.Server) <-chan error {
	result := make(chan error, 1)
	go func() { result <- server.Serve() }()
	return result
}

// failOn returns a Settings.Failed of a server that logs nothing.
func failOn(t *testing.T) func(error) {
	return func(err error) { t.Errorf("the server logged %v", err) }
}

func expectNil(t *testing.T, result <-chan error) {
	t.Helper()
	select {
	case err := <-result:
		if err != nil {
			t.Fatalf("Serve returned %v", err)
		}
	case <-time.After(stepTimeout):
		t.Fatal("Serve goes on after Close")
	}
}

// TestServer checks that a server answers until it is closed, and that being
// closed is no failure.
func TestServer(t *testing.T) {
	t.Run("answers until Close", func(t *testing.T) {
		listener := listen(t)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
		server := httpserver.New(httpserver.Settings{Handler: handler, HeaderTimeout: stepTimeout, Failed: failOn(t)}, listener)
		result := serve(server)
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusTeapot {
			t.Fatalf("status %d", response.StatusCode)
		}
		server.Close()
		expectNil(t, result)
		if _, err := net.Dial("tcp", listener.Addr().String()); err == nil {
			t.Fatal("the address is still open after Close")
		}
	})
	t.Run("closed before Serve", func(t *testing.T) {
		listener := listen(t)
		server := httpserver.New(httpserver.Settings{}, listener)
		server.Close()
		expectNil(t, serve(server))
		if _, err := net.Dial("tcp", listener.Addr().String()); err == nil {
			t.Fatal("the address is still open after Close")
		}
	})
}

// expectFailure runs a server whose handler panics with a value, and checks that
// the caller gets no answer and Failed gets want lines, each with the text.
func expectFailure(t *testing.T, value any, want int, text string) {
	t.Helper()
	listener := listen(t)
	failures := make(chan error, 2)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(value) })
	server := httpserver.New(httpserver.Settings{
		Handler:       handler,
		HeaderTimeout: stepTimeout,
		Failed:        func(err error) { failures <- err },
	}, listener)
	result := serve(server)
	if response, err := http.Get("http://" + listener.Addr().String()); err == nil {
		_ = response.Body.Close()
		t.Fatalf("got status %d of a handler that panicked", response.StatusCode)
	}
	server.Close()
	expectNil(t, result)
	// net/http logs before it closes the connection, so that all lines are there.
	if len(failures) != want {
		t.Fatalf("%d lines, not %d", len(failures), want)
	}
	for range want {
		message := (<-failures).Error()
		if !strings.Contains(message, text) || len(message) > 4<<10 {
			t.Fatalf("line of %d bytes: %.200s", len(message), message)
		}
	}
}

// TestFailed checks that a panic of the handler is reported, except one that cuts
// the connection on purpose, and that a long line is cut.
func TestFailed(t *testing.T) {
	t.Run("a panic", func(t *testing.T) { expectFailure(t, "no such shard", 1, "no such shard") })
	t.Run("a connection cut on purpose", func(t *testing.T) { expectFailure(t, http.ErrAbortHandler, 0, "") })
	t.Run("a long line", func(t *testing.T) { expectFailure(t, strings.Repeat("x", 8<<10), 1, "xxx") })
}
