// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package httpserver_test

import (
	"context"
	"errors"
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
		t.Fatal("Serve goes on after its end")
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

// request is a request in progress: its handler runs until release is closed.
type request struct {
	server  *httpserver.Server
	served  <-chan error
	address string
	release chan struct{}
	// answered gets nil if the answer arrived.
	answered chan error
}

// begin starts a server and returns a request whose handler runs.
func begin(t *testing.T) request {
	t.Helper()
	listener := listen(t)
	r := request{address: listener.Addr().String(), release: make(chan struct{}), answered: make(chan error, 1)}
	entered := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-r.release
	})
	r.server = httpserver.New(httpserver.Settings{Handler: handler, Failed: failOn(t)}, listener)
	r.served = serve(r.server)
	go func() {
		response, err := http.Get("http://" + r.address)
		if err == nil {
			err = response.Body.Close()
		}
		r.answered <- err
	}()
	select {
	case <-entered:
	case <-time.After(stepTimeout):
		t.Fatal("the request did not reach its handler")
	}
	return r
}

// awaitClosed waits until an address takes no connection.
func awaitClosed(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = c.Close() // only that it opened matters
	}
	t.Fatal("the address is still open")
}

// TestShutdown checks that a drain refuses connections, waits for requests and
// cuts those that outlast its context.
func TestShutdown(t *testing.T) {
	t.Run("waits for requests with its listener closed", func(t *testing.T) {
		r := begin(t)
		drained := make(chan error, 1)
		go func() { drained <- r.server.Shutdown(context.Background()) }()
		awaitClosed(t, r.address)
		close(r.release)
		if err := <-r.answered; err != nil {
			t.Fatalf("the request in progress ended with %v", err)
		}
		expectNil(t, drained)
		expectNil(t, r.served)
	})
	t.Run("cuts requests when its context ends", func(t *testing.T) {
		r := begin(t)
		defer close(r.release)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := r.server.Shutdown(ctx); !errors.Is(err, context.Canceled) {
			t.Fatalf("Shutdown returned %v", err)
		}
		if err := <-r.answered; err == nil {
			t.Fatal("the request in progress was answered")
		}
		expectNil(t, r.served)
	})
	t.Run("before Serve", func(t *testing.T) {
		listener := listen(t)
		server := httpserver.New(httpserver.Settings{}, listener)
		if err := server.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
		expectNil(t, serve(server))
		awaitClosed(t, listener.Addr().String())
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
