// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/logsink"
	"granitehoist.example/granitehoist/standin"
)

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func expectFree(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("address is still open: %v", err)
	}
	_ = listener.Close()
}

// TestListenFails guards against listeners that stay open when another address cannot be
// opened.
func TestListenFails(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	port := occupied.Addr().(*net.TCPAddr).Port
	cases := []struct {
		name string
		set  func(*Config)
	}{
		{"ready", func(c *Config) { c.ReadinessAddress = occupied.Addr().String() }},
		{"neighbours", func(c *Config) { c.PeerIP, c.PeerPort = "127.0.0.1", port }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := &Config{CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), PeerIP: "127.0.0.1"}
			c.set(config)
			if _, err := listen(config); err == nil {
				t.Fatal("an address in use could be opened")
			}
			expectFree(t, config.CallerAddress)
		})
	}
}

// panickingFrontend is an Adapter.NewFrontend whose handler panics.
func panickingFrontend(FrontendSettings) http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("no such route") })
}

// TestServeFailed guards against a panic of the callers' handler that is not logged, or
// not as one line with the server and the panic.
func TestServeFailed(t *testing.T) {
	port := portOf(t, freeAddress(t))
	config := &Config{
		Box:              "edge-1",
		PeerIP:           "127.0.0.1",
		PeerPort:         port,
		CallerAddress:    freeAddress(t),
		ReadinessAddress: freeAddress(t),
		StoreAddress:     freeAddress(t),
		GracePeriod:      time.Second,
	}
	var lines strings.Builder
	sink := logsink.New(&lines, 16)
	adapter := Adapter{
		Store:           standin.NewStore(standin.StoreSettings{}),
		ConfigPrefix:    "config/",
		InstancesPrefix: "instances/",
		Codec:           struct{ forward.Codec }{},
		NewFrontend:     panickingFrontend,
	}
	n, err := New(config, adapter, logsink.NewLogger(sink, zapcore.WarnLevel))
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		n.serve(callersServer, n.servers.callers)
		close(served)
	}()
	if response, err := http.Get("http://" + config.CallerAddress); err == nil {
		_ = response.Body.Close()
		t.Fatalf("got status %d of a handler that panicked", response.StatusCode)
	}
	n.servers.closeHTTP()
	<-served
	_ = n.servers.peers.Close()
	sink.Close(time.Minute)
	text := lines.String()
	if strings.Count(text, "\n") != 1 {
		t.Fatalf("not one line: %q", text)
	}
	for _, part := range []string{"level=warn", "event=serve_failed", "server=callers", "no such route"} {
		if !strings.Contains(text, part) {
			t.Fatalf("%q is not in %q", part, text)
		}
	}
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return resolved.Port
}
