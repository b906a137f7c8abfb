// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "time"

// liveSettings holds the settings that a running node can change. Each is read at every
// use, so that a change takes effect at once.
type liveSettings struct {
	// grace is Config.GracePeriod, used by the next stop.
	grace time.Duration
	// linkMbps is Config.LinkMbps, used for load shedding. Neighbours see the value from
	// the start of the process.
	linkMbps float64
}

func newLiveSettings(c *Config) *liveSettings {
	return &liveSettings{grace: c.GracePeriod, linkMbps: c.LinkMbps}
}

// Reload applies the settings of c that a running node can change: GracePeriod and
// LinkMbps. It returns the names of settings in c that differ from those at the start and
// need a restart. It returns an error and changes nothing if c is invalid. It is safe for
// concurrent use.
func (n *Node) Reload(c *Config) (restartNeeded []string, err error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	n.live.Store(newLiveSettings(c))
	n.readMemory.resize(c.MemoryLimit)
	return needRestart(n.config, c), nil
}

// needRestart returns the names of the settings that differ and need a restart.
func needRestart(started, changed *Config) []string {
	var names []string
	for _, setting := range []struct {
		name    string
		differs bool
	}{
		{"box", started.Box != changed.Box},
		{"zone", started.Zone != changed.Zone},
		{"ip", started.PeerIP != changed.PeerIP},
		{"peer_port", started.PeerPort != changed.PeerPort},
		{"callers", started.CallerAddress != changed.CallerAddress},
		{"ready", started.ReadinessAddress != changed.ReadinessAddress},
		{"store", started.StoreAddress != changed.StoreAddress},
		{"retry", started.RetryBudget != changed.RetryBudget},
	} {
		if setting.differs {
			names = append(names, setting.name)
		}
	}
	return names
}
