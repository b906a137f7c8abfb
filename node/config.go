// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/rollout"
)

// Config holds the settings of a node, from the platform's settings file and the command
// line. A node does not change it.
type Config struct {
	Box  granitehoist.Box
	Zone granitehoist.AvailabilityZone
	// Regions maps each availability zone to its region.
	Regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// CrossRegionPenalty is the delay that is acceptable to keep a request in the node's own
	// region, besides the delay of the network; zero means none. It has no effect in a
	// fleet with one region.
	CrossRegionPenalty time.Duration
	// PeerIP and PeerPort form the address at which neighbours reach the node.
	PeerIP   string
	PeerPort int
	// TunnelPort is the port at PeerIP at which the node opens tunnels to upstreams for
	// neighbours that have lost their path to them; zero opens none.
	TunnelPort int
	// CallerAddress and ReadinessAddress are the listening addresses, as IP:PORT, for
	// callers and for the platform's health checks.
	CallerAddress    string
	ReadinessAddress string
	// LinkMbps is the bandwidth of the box's network link in Mbit/s, zero if unknown.
	LinkMbps float64
	// MetricsAddress is the listening address, as IP:PORT, for metrics; if empty, none are
	// served.
	MetricsAddress string
	// StoreAddress is the address of the platform's store, as IP:PORT.
	StoreAddress string
	// StoreLossWindow is the greatest age of the copies from which the store may return, the
	// same at all nodes; see escrow.LedgerSettings.LossWindow for zero and negative values.
	StoreLossWindow time.Duration
	// GracePeriod is the time from the order to stop (SIGTERM) until the platform kills the
	// process.
	GracePeriod time.Duration
	// MemoryLimit is the size in bytes above which the platform kills the process; zero
	// means no limit.
	MemoryLimit int64
	RetryBudget forward.RetrySettings
	// ContactTime is the time from the return of a connection to the store until the node
	// must have caught up; zero if unknown.
	ContactTime time.Duration
	// Rollout holds the terms of roll-outs; the zero value disables them.
	Rollout rollout.Terms
	// UpstreamDialer opens the connections to upstreams; nil means TCP with the options of
	// package exchange.
	UpstreamDialer exchange.Dialer
	// Clock returns the current time; nil means time.Now, which does not advance while
	// the machine is suspended (package internal/boottime).
	Clock granitehoist.Clock
	// Machine is the machine on which the process runs, in the time of Clock.
	Machine escrow.Machine
	// Bootstrap says that the whole fleet starts for the first time, so that the node
	// list in the store is empty or incomplete.
	Bootstrap bool
	// LogDropped returns the number of log lines dropped so far. If nil, the metric is
	// omitted.
	LogDropped func() int64
}

// Check returns an error that names the first missing or invalid setting.
func (c *Config) Check() error {
	if c.Box == "" {
		return eris.New("the box has no name")
	}
	if net.ParseIP(c.PeerIP) == nil {
		return eris.Errorf("invalid IP address %q", c.PeerIP)
	}
	addresses := []struct{ name, value string }{
		{"callers", c.CallerAddress}, {"ready", c.ReadinessAddress}, {"store", c.StoreAddress},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return eris.Wrapf(err, "address for %s", a.name)
		}
	}
	if c.PeerPort <= 0 || c.PeerPort > maxPort {
		return eris.Errorf("port for neighbours %d is not in the range 1 to %d", c.PeerPort, maxPort)
	}
	if c.TunnelPort < 0 || c.TunnelPort > maxPort || (c.TunnelPort > 0 && c.TunnelPort == c.PeerPort) {
		return eris.Errorf("port for tunnels %d is not in the range 0 to %d, or is the port for neighbours", c.TunnelPort, maxPort)
	}
	if err := c.Rollout.Check(); err != nil {
		return eris.Wrap(err, "roll-outs")
	}
	if c.CrossRegionPenalty < 0 {
		return eris.Errorf("cross-region penalty %s is negative", c.CrossRegionPenalty)
	}
	if c.GracePeriod <= 0 {
		return eris.Errorf("grace period %s is not positive", c.GracePeriod)
	}
	return nil
}

// maxPort is the largest TCP port.
const maxPort = 65535
