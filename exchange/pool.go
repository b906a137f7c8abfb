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
	// Meter, if set, counts the bytes read and written.
	Meter *linkmeter.Meter
	// Clock returns the current time, from which idle times are measured; nil means
	// time.Now. The times passed to Do must come from the same clock.
	Clock granitehoist.Clock
	// Dialer opens the connections; nil means a net.Dialer that detects unresponsive
	// peers. Connections that do not implement syscall.Conn are not reused.
	Dialer Dialer
	// OnOpen, if set, is called for each new connection, by the goroutine that
	// opened it.
	OnOpen func()
	// OnDial, if set, is called with the result of each dial, by the goroutine that dialed.
	OnDial func(DialResult)
}

const (
	// connectTimeout bounds a dial, so that time is left for another attempt.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	unackedTimeout = 1500 * time.Millisecond
	// idleTimeout is the maximum idle time of a connection, and the default for upstreams
	// that send no keep-alive timeout.
	idleTimeout = 4 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one address, since upstreams limit
	// the number of their connections.
	maxIdlePerUpstream = 16
)

// Dialer opens connections, like net.Dialer. Implementations must be safe for concurrent
// use.
type Dialer interface {
	// DialContext connects to address until ctx ends.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool sends requests to upstreams over a pool of persistent connections. It is safe for
// concurrent use. Create one with NewPool.
type Pool struct {
	settings Settings

	// mu guards idle.
	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT: how long, in milliseconds, sent
// bytes may stay unacknowledged. Package syscall lacks it on some architectures.
const tcpUserTimeout = 18

const (
	// probeInterval is the idle time before the first TCP keep-alive probe and the time
	// between probes. One second is the minimum of the socket option.
	probeInterval = time.Second
	// maxProbes is the number of unanswered probes after which the kernel closes a
	// connection.
	maxProbes = 2
)

// NewPool returns a Pool without connections.
func NewPool(s Settings) *Pool {
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Dialer == nil {
		s.Dialer = newDialer()
	}
	return &Pool{settings: s, idle: map[string][]*conn{}}
}

// newDialer returns a dialer whose connections detect unresponsive peers.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    maxProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option an unresponsive peer is detected later, by the
				// keep-alive probes or the deadline of the attempt.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
		},
	}
}

// get returns a reusable idle connection to address, or else a new one.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration, now time.Time) (*conn, error) {
	for {
		c := p.takeIdle(address, maxIdle, now)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.healthy() {
			return c, nil
		}
		discard(c)
	}
}

// takeIdle removes and returns the most recently used connection that is reusable, and nil
// if there is none. It closes the connections that it finds not to be reusable.
func (p *Pool) takeIdle(address string, maxIdle time.Duration, now time.Time) *conn {
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

// dial opens a connection and reports it to Settings.OnOpen.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	started := p.settings.Clock()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.settings.Dialer.DialContext(ctx, "tcp", address)
	if p.settings.OnDial != nil {
		p.settings.OnDial(dialResultOf(err))
	}
	if err != nil {
		return nil, err
	}
	if p.settings.OnOpen != nil {
		p.settings.OnOpen()
	}
	metered := p.settings.Meter.Conn(raw)
	return &conn{Conn: metered, reader: bufio.NewReaderSize(metered, readBufferBytes), address: address, connectTime: p.settings.Clock().Sub(started)}, nil
}

// put adds a connection to the idle ones, or closes it if there are too many. keepAlive is
// the keep-alive timeout that the upstream sent, zero if it sent none.
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

// CloseIdle closes the idle connections to an address whose upstream has been removed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		discard(c)
	}
}

// Close closes all idle connections. Connections in use return to the pool when their
// exchange ends, and are not closed by it.
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
