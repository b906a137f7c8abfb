// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"net"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/tunnel"
)

// tunnelDialTimeout bounds the connection to an upstream for a neighbour. The neighbour's
// own limit is longer, so that it learns the result.
const tunnelDialTimeout = 300 * time.Millisecond

// tunnels opens tunnels to upstreams for neighbours that have lost their path to them. It
// is safe for concurrent use.
type tunnels struct {
	*tunnel.Server
	table *balance.Table
	pool  *exchange.Pool
	// address is the address of the server as IP:PORT, empty if the node opens no tunnels.
	address string
	// stopping reports whether the node stops.
	stopping func() bool
}

// newTunnels returns the tunnels of a node that listens for them at address.
func newTunnels(n *Node, c *components, address string) *tunnels {
	t := &tunnels{table: c.table, pool: c.pool, address: address, stopping: n.stopping.Load}
	t.Server = tunnel.NewServer(tunnel.ServerSettings{Open: t.open, Clock: n.clock, OnEnd: n.counters.countTunnel})
	return t
}

// open connects to an upstream. Its errors are those of package tunnel.
func (t *tunnels) open(ctx context.Context, upstream granitehoist.Upstream) (net.Conn, error) {
	if !t.reaches() {
		return nil, tunnel.ErrUnavailable
	}
	instance, found := t.table.Lookup(upstream)
	if !found {
		return nil, tunnel.ErrUnknownUpstream
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	c, err := t.pool.DialDirect(ctx, upstream, instance.Address)
	switch exchange.DialResultOf(err) {
	case exchange.DialSucceeded:
		return c, nil
	case exchange.DialRefused:
		return nil, tunnel.ErrRefused
	case exchange.DialTimedOut:
		return nil, tunnel.ErrTimedOut
	case exchange.DialCancelled, exchange.DialFailed:
	}
	return nil, tunnel.ErrUnavailable
}

// reaches reports whether this node has a direct path to the upstreams and goes on serving.
// A suspected path may still be open.
func (t *tunnels) reaches() bool {
	state := t.pool.Path()
	return !t.stopping() && (state == exchange.PathOpen || state == exchange.PathSuspect)
}

// serveReach serves methodReach.
func (t *tunnels) serveReach(context.Context, reachParams) (reachResult, error) {
	return reachResult{Reaches: t.reaches(), Tunnel: t.address}, nil
}
