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

// stepTimeout bounds each wait of a test.
const stepTimeout = 20 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve runs a server and returns a channel with the result of Serve.
func serve(server *httpserver.Server) <-chan error {
	result := make(chan error, 1)
	go func() { result <- server.Serve() }()
	return result
}

// failOnError returns a Settings.OnError that fails the test.
func failOnError(t *testing.T) func(error) {
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

// TestServer checks that a server answers until it is closed, and that Serve returns no
// error for a closed server.
func TestServer(t *testing.T) {
	t.Run("answers until Close", func(t *testing.T) {
		listener := listen(t)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
		server := httpserver.New(httpserver.Settings{Handler: handler, HeaderTimeout: stepTimeout, OnError: failOnError(t)}, listener)
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

// blockedRequest is a request in progress whose handler returns when release is closed.
type blockedRequest struct {
	server  *httpserver.Server
	served  <-chan error
	address string
	release chan struct{}
	// result gets the client's error, nil for a response.
	result chan error
}

// startRequest starts a server and returns a request whose handler is running.
func startRequest(t *testing.T) blockedRequest {
	t.Helper()
	listener := listen(t)
	r := blockedRequest{address: listener.Addr().String(), release: make(chan struct{}), result: make(chan error, 1)}
	entered := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-r.release
	})
	r.server = httpserver.New(httpserver.Settings{Handler: handler, OnError: failOnError(t)}, listener)
	r.served = serve(r.server)
	go func() {
		response, err := http.Get("http://" + r.address)
		if err == nil {
			err = response.Body.Close()
		}
		r.result <- err
	}()
	select {
	case <-entered:
	case <-time.After(stepTimeout):
		t.Fatal("the request did not reach its handler")
	}
	return r
}

// awaitClosed waits until an address refuses connections.
func awaitClosed(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = c.Close() // the connection itself is not used
	}
	t.Fatal("the address is still open")
}

// TestShutdown checks that a drain refuses connections, waits for requests and aborts
// those still running when its context ends.
func TestShutdown(t *testing.T) {
	t.Run("waits for requests with its listener closed", func(t *testing.T) {
		r := startRequest(t)
		drained := make(chan error, 1)
		go func() { drained <- r.server.Shutdown(context.Background()) }()
		awaitClosed(t, r.address)
		close(r.release)
		if err := <-r.result; err != nil {
			t.Fatalf("the request in progress ended with %v", err)
		}
		expectNil(t, drained)
		expectNil(t, r.served)
	})
	t.Run("aborts requests when its context ends", func(t *testing.T) {
		r := startRequest(t)
		defer close(r.release)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := r.server.Shutdown(ctx); !errors.Is(err, context.Canceled) {
			t.Fatalf("Shutdown returned %v", err)
		}
		if err := <-r.result; err == nil {
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

// expectErrors runs a server whose handler panics with a value, and checks that the
// client gets no response and OnError is called want times with an error that contains
// text.
func expectErrors(t *testing.T, value any, want int, text string) {
	t.Helper()
	listener := listen(t)
	failures := make(chan error, 2)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(value) })
	server := httpserver.New(httpserver.Settings{
		Handler:       handler,
		HeaderTimeout: stepTimeout,
		OnError:       func(err error) { failures <- err },
	}, listener)
	result := serve(server)
	if response, err := http.Get("http://" + listener.Addr().String()); err == nil {
		_ = response.Body.Close()
		t.Fatalf("got status %d of a handler that panicked", response.StatusCode)
	}
	server.Close()
	expectNil(t, result)
	// net/http logs before it closes the connection, so all errors have arrived.
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

// TestFailed checks that a panic of the handler is reported, except http.ErrAbortHandler,
// and that a long message is truncated.
func TestFailed(t *testing.T) {
	t.Run("a panic", func(t *testing.T) { expectErrors(t, "no such shard", 1, "no such shard") })
	t.Run("an aborted connection", func(t *testing.T) { expectErrors(t, http.ErrAbortHandler, 0, "") })
	t.Run("a long message", func(t *testing.T) { expectErrors(t, strings.Repeat("x", 8<<10), 1, "xxx") })
}
