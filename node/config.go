// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/forward"
)

// Config holds the settings of a node, from the platform's settings file and the command
// line. A node does not change it.
type Config struct {
	Box  granitehoist.Box
	Zone granitehoist.AvailabilityZone
	// Regions maps each availability zone to its region.
	Regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// IP and PeerPort form the address at which neighbours reach the node.
	IP       string
	PeerPort int
	// Callers and Ready are the listening addresses, as IP:PORT, for callers and for the
	// platform's health checks.
	Callers string
	Ready   string
	// LinkMbps is the bandwidth of the box's network link in Mbit/s, zero if unknown.
	LinkMbps float64
	// Metrics is the listening address, as IP:PORT, for metrics; if empty, none are
	// served.
	Metrics string
	// Store is the address of the platform's store, as IP:PORT.
	Store string
	// Grace is the time from the order to stop (SIGTERM) until the platform kills the
	// process.
	Grace time.Duration
	// Memory is the size in bytes above which the platform kills the process; zero means
	// no limit.
	Memory int64
	Retry  forward.RetrySettings
	// Clock returns the current time; nil means time.Now, which does not advance while
	// the machine is suspended (package internal/boottime).
	Clock granitehoist.Clock
	// First says that the whole fleet starts for the first time, so that the node list in
	// the store is empty or incomplete.
	First bool
	// LogDropped returns the number of log lines dropped so far. If nil, the metric is
	// omitted.
	LogDropped func() int64
}

// Check returns an error that names the first missing or invalid setting.
func (c *Config) Check() error {
	if c.Box == "" {
		return eris.New("the box name is missing")
	}
	if net.ParseIP(c.IP) == nil {
		return eris.Errorf("invalid IP address %q", c.IP)
	}
	addresses := []struct{ name, value string }{
		{"callers", c.Callers}, {"ready", c.Ready}, {"store", c.Store},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return eris.Wrapf(err, "invalid address %q for %s", a.value, a.name)
		}
	}
	if c.PeerPort <= 0 || c.PeerPort > maxPort {
		return eris.Errorf("port for neighbours %d is not in the range 1 to %d", c.PeerPort, maxPort)
	}
	if c.Grace <= 0 {
		return eris.Errorf("grace period %s is not positive", c.Grace)
	}
	return nil
}

// maxPort is the largest TCP port.
const maxPort = 65535
