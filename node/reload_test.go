// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"slices"
	"testing"
	"time"
)

// validConfig returns settings that Check accepts.
func validConfig() *Config {
	return &Config{
		Box: "edge-1", PeerIP: "10.0.0.1", PeerPort: 7000, CallerAddress: "10.0.0.1:80", ReadinessAddress: "10.0.0.1:81",
		StoreAddress: "10.0.0.9:82", GracePeriod: 8 * time.Second, LinkMbps: 20,
	}
}

// TestReload guards against changed settings that are ignored, or not reported as needing
// a restart.
func TestReload(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*Config)
		waiting []string
		grace   time.Duration
		mbps    float64
	}{
		{"nothing", func(*Config) {}, nil, 8 * time.Second, 20},
		{"the grace", func(c *Config) { c.GracePeriod = 4 * time.Second }, nil, 4 * time.Second, 20},
		{"the link", func(c *Config) { c.LinkMbps = 100 }, nil, 8 * time.Second, 100},
		{"the store and the retries", func(c *Config) { c.StoreAddress, c.RetryBudget.Burst = "10.0.0.8:82", 9 }, []string{"store", "retry"}, 8 * time.Second, 20},
		{"the first start of the fleet", func(c *Config) { c.Bootstrap = true }, nil, 8 * time.Second, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := &Node{config: validConfig()}
			n.live.Store(newLiveSettings(n.config))
			changed := validConfig()
			c.change(changed)
			waiting, err := n.Reload(changed)
			if err != nil || !slices.Equal(waiting, c.waiting) {
				t.Fatalf("waiting %v, error %v", waiting, err)
			}
			if live := n.live.Load(); live.grace != c.grace || live.linkMbps != c.mbps {
				t.Fatalf("active settings %+v", live)
			}
		})
	}
	t.Run("invalid settings change nothing", func(t *testing.T) {
		n := &Node{config: validConfig()}
		n.live.Store(newLiveSettings(n.config))
		if _, err := n.Reload(&Config{}); err == nil {
			t.Fatal("no error")
		}
		if live := n.live.Load(); live.grace != 8*time.Second {
			t.Fatalf("active settings %+v", live)
		}
	})
}
