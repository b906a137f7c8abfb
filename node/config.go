// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/forward"
)

// Config is what a node is told at its start.
type Config struct {
	Box    granitehoist.Box
	Zone   granitehoist.AvailabilityZone
	Region granitehoist.Region
	// IP is the address that neighbours reach; PeerPort is where.
	IP       string
	PeerPort int
	// Callers and Ready are the addresses, as IP:PORT, that clients and the
	// platform's health checks reach.
	Callers string
	Ready   string
	// LinkMbps is the rate of the box's link in Mbit/s, zero if it is not known.
	LinkMbps float64
	// Metrics is the address of the node's figures; empty serves none.
	Metrics string
	// Store is the address of the platform's store.
	Store string
	// Grace is the time from the order to stop until the process is killed.
	Grace time.Duration
	// Drain is the time within which callers and upstreams notice a change of
	// state.
	Drain time.Duration
	// Memory is the bound of the process in bytes; zero sets none.
	Memory int64
	Retry  forward.RetrySettings
	// First says that the whole fleet starts for the first time.
	First bool
	// LogDropped returns the log lines that were dropped; nil where none are.
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

const maxPort = 65535

// Adapter is what a node needs of a platform.
type Adapter struct {
	Store granitehoist.Store
	// ConfigPrefix and InstancesPrefix hold the operators' and the upstreams'
	// entries; ConfigKey is the configuration.
	ConfigPrefix    string
	ConfigKey       string
	InstancesPrefix string
	DecodeConfig    func(granitehoist.Entry) (*catalog.Document, error)
	DecodeInstance  func(granitehoist.Entry) (balance.Instance, error)
	InstanceID      func(key string) granitehoist.Upstream
	Codec           forward.Codec
	// Frontend returns the handler of clients' requests.
	Frontend func(*forward.Path, *catalog.Current, granitehoist.Clock, func() bool) http.Handler
}
