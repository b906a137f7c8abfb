// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"net"
	"testing"
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

// TestListenFails checks that no address stays open when another can't be
// opened.
func TestListenFails(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	port := taken.Addr().(*net.TCPAddr).Port
	cases := []struct {
		name string
		set  func(*Config)
	}{
		{"ready", func(c *Config) { c.Ready = taken.Addr().String() }},
		{"neighbours", func(c *Config) { c.IP, c.PeerPort = "127.0.0.1", port }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := &Config{Callers: freeAddress(t), Ready: freeAddress(t), IP: "127.0.0.1"}
			c.set(config)
			if _, err := listen(config); err == nil {
				t.Fatal("an address that is taken could be opened")
			}
			expectFree(t, config.Callers)
		})
	}
}
