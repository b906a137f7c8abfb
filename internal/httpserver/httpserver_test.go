// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package httpserver_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/httpserver"
)

// stepTimeout is how long a step may take on a busy machine.
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
		server := httpserver.New(httpserver.Settings{Handler: handler, HeaderTimeout: stepTimeout, Quiet: true}, listener)
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
