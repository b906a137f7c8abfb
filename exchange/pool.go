// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/linkmeter"
)

// Settings configure a Pool. The zero value works.
type Settings struct {
	// Meter, if set, counts the bytes of the connections.
	Meter *linkmeter.Meter
	// Clock returns the present time, by which idle connections are kept; nil means
	// time.Now. Do must get times of the same clock.
	Clock granitehoist.Clock
	// Opened, if set, is called for each new connection, by the goroutine that
	// opened it.
	Opened func()
}

const (
	// connectTimeout bounds the making of a connection: an attempt that can't connect
	// leaves time for another.
	connectTimeout = 400 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay unacknowledged by the peer before its
	// connection is given up.
	silenceTimeout = 1500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept at most, and how long where the
	// upstream does not report it.
	idleTimeout = 4 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one address. Upstreams bound the
	// connections that they accept from all callers together.
	maxIdlePerUpstream = 16
)

// Pool sends requests and keeps idle connections to upstreams. It is safe for
// concurrent use.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	// mu guards idle.
	mu sync.Mutex
	// idle holds the idle connections by address, the last used last.
	idle map[string][]*conn
}

// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT, which
// bounds in milliseconds how long sent bytes may stay unacknowledged.
const tcpUserTimeout = 18

const (
	// probeInterval is how long a connection is silent before the kernel probes
	// the peer, and the time between probes. One second is the smallest value of
	// the socket option.
	probeInterval = time.Second
	// maxProbes is the number of unanswered probes that end a connection.
	maxProbes = 2
)

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool {
	if s.Clock == nil {
		s.Clock = time.Now
	}
	p := &Pool{settings: s, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    maxProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option a silent peer is only noticed later, by the
				// keep-alive probes or the attempt's own deadline.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// get returns an idle connection that may serve a request which allows maxIdle,
// or a new one.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration, now time.Time) (*conn, error) {
	for {
		c := p.take(address, maxIdle, now)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.quiet() {
			return c, nil
		}
		discard(c)
	}
}

// take removes the connection that was used last of those that may be reused, and
// closes those that may not. It returns nil if there is none.
func (p *Pool) take(address string, maxIdle time.Duration, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		p.idle[address] = idle
		if c.idlePeriod.reusable(maxIdle, now) {
			return c
		}
		discard(c)
	}
	delete(p.idle, address)
	return nil
}

// dial makes a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.settings.Opened != nil {
		p.settings.Opened()
	}
	metered := p.settings.Meter.Conn(raw)
	return &conn{Conn: metered, reader: bufio.NewReaderSize(metered, readBufferBytes), address: address}, nil
}

// put keeps a connection for later requests. keepAlive is what its upstream
// reported, or zero.
func (p *Pool) put(c *conn, keepAlive time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idlePeriod = newIdlePeriod(keepAlive, idleTimeout, now)
	if len(p.idle[c.address]) >= maxIdlePerUpstream {
		discard(c)
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Forget closes the idle connections to an address. It is called when its upstream
// has ended.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		discard(c)
	}
}

// Close closes all idle connections. Connections in use return to the pool when
// their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, connections := range idle {
		for _, c := range connections {
			discard(c)
		}
	}
}
