// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "time"

// liveSettings are the settings that a running node takes from a changed file. Each
// is read when it is used, so that a change counts from then on.
type liveSettings struct {
	// grace is Config.Grace: the next stop is planned by it.
	grace time.Duration
	// linkMbps is Config.LinkMbps, by which the node sheds callers. Neighbours have
	// the one that it started with until it starts again.
	linkMbps float64
}

func liveOf(c *Config) *liveSettings { return &liveSettings{grace: c.Grace, linkMbps: c.LinkMbps} }

// Reload puts those settings of c in force that a running node can change: Grace and
// LinkMbps. It returns the names of the others that differ from those at the start:
// addresses and names are known to neighbours and callers, the figures of the retry
// budget would begin with full budgets, and the rest has served its purpose. They
// take effect at the next start. An error says that c is not valid; then nothing
// changes. It is safe for concurrent use.
func (n *Node) Reload(c *Config) (waiting []string, err error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	n.live.Store(liveOf(c))
	return needRestart(n.config, c), nil
}

// needRestart returns the names of the settings that differ and that a running
// node can't change.
func needRestart(started, changed *Config) []string {
	var names []string
	for _, setting := range []struct {
		name    string
		differs bool
	}{
		{"box", started.Box != changed.Box},
		{"zone", started.Zone != changed.Zone},
		{"ip", started.IP != changed.IP},
		{"peer_port", started.PeerPort != changed.PeerPort},
		{"callers", started.Callers != changed.Callers},
		{"ready", started.Ready != changed.Ready},
		{"store", started.Store != changed.Store},
		{"retry", started.Retry != changed.Retry},
	} {
		if setting.differs {
			names = append(names, setting.name)
		}
	}
	return names
}
