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

// Config holds the settings of a node, as the platform's settings file and the
// command line give them at its start. A node does not change it.
type Config struct {
	Box  granitehoist.Box
	Zone granitehoist.AvailabilityZone
	// Regions holds the region of each availability zone.
	Regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// IP and PeerPort are the address at which neighbours reach the node.
	IP       string
	PeerPort int
	// Callers and Ready are the addresses, as IP:PORT, that callers and the
	// platform's health checks reach.
	Callers string
	Ready   string
	// LinkMbps is the rate of the box's link in Mbit/s, zero if it is not known.
	LinkMbps float64
	// Metrics is the address, as IP:PORT, at which the node serves its metrics;
	// empty serves none.
	Metrics string
	// Store is the address of the platform's store, as IP:PORT.
	Store string
	// Grace is the time from the order to stop until the platform kills the
	// process.
	Grace time.Duration
	// Memory is the size in bytes above which the platform kills the process;
	// zero is no bound.
	Memory int64
	Retry  forward.RetrySettings
	// Clock returns the present time; nil means time.Now, which does not count while
	// the machine is suspended (package internal/boottime).
	Clock granitehoist.Clock
	// First says that all routers of the fleet start for the first time, so that
	// the list of nodes in the store is empty or still filling.
	First bool
	// LogDropped returns the number of log lines that were dropped so far. Nil
	// leaves the metric out.
	LogDropped func() int64
}

// Check returns an error that names the first setting that is missing or wrong.
func (c *Config) Check() error {
	if c.Box == "" {
		return eris.New("the box has no name")
	}
	if net.ParseIP(c.IP) == nil {
		return eris.Errorf("IP address %q can't be read", c.IP)
	}
	addresses := []struct{ name, value string }{
		{"callers", c.Callers}, {"ready", c.Ready}, {"store", c.Store},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return eris.Wrapf(err, "address for %s", a.name)
		}
	}
	if c.PeerPort <= 0 || c.PeerPort > maxPort {
		return eris.Errorf("port for neighbours %d is out of range", c.PeerPort)
	}
	if c.Grace <= 0 {
		return eris.New("no time to stop in")
	}
	return nil
}

// maxPort is the largest TCP port.
const maxPort = 65535
