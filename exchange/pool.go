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

	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/linkmeter"
)

// Settings configure a Pool. The zero value works.
type Settings struct {
	// ConnectTimeout bounds the making of a connection; zero stands for
	// DefaultConnect.
	ConnectTimeout time.Duration
	// SilenceTimeout is how long the peer's machine may be silent before a
	// connection is given up; zero stands for DefaultSilence.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a connection is kept where the upstream does not tell;
	// zero stands for DefaultIdle.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream bounds the idle connections to one address; zero stands for
	// DefaultPerUpstream.
	MaxIdlePerUpstream int
	// Meter, if set, counts the bytes of the connections.
	Meter *linkmeter.Meter
	// Opened, if set, is told of each new connection.
	Opened func()
}

// Defaults of Settings.
const (
	DefaultConnectTimeout     = 400 * time.Millisecond
	DefaultSilenceTimeout     = 1500 * time.Millisecond
	DefaultIdleTimeout        = 4 * time.Second
	DefaultMaxIdlePerUpstream = 16
)

// Pool keeps idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// tcpUserTimeout is the Linux socket option that bounds the time for which
// sent bytes may stay unacknowledged, in milliseconds.
const tcpUserTimeout = 18

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool {
	defaults.Set(&s.ConnectTimeout, DefaultConnectTimeout)
	defaults.Set(&s.SilenceTimeout, DefaultSilenceTimeout)
	defaults.Set(&s.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&s.MaxIdlePerUpstream, DefaultMaxIdlePerUpstream)
	p := &Pool{settings: s, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout: s.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option a silent peer is noticed later.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(s.SilenceTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// get returns an idle connection that the upstream said it keeps, or one that
// has rested for no longer than maxRest, or a new one.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration, now time.Time) (*conn, error) {
	for {
		c := p.take(address, maxIdle, now)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

// take removes the connection that was used last.
func (p *Pool) take(address string, maxIdle time.Duration, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		p.idle[address] = idle
		if now.Before(c.idleUntil) && (c.keepAliveReported || now.Sub(c.idleSince) <= maxIdle) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

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

// put keeps a connection for later requests.
func (p *Pool) put(c *conn, keepAlive time.Duration, now time.Time) {
	c.keepAliveReported = keepAlive > 0
	if !c.keepAliveReported {
		keepAlive = p.settings.IdleTimeout
	}
	c.idleSince = now
	c.idleUntil = now.Add(min(keepAlive, p.settings.IdleTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.settings.MaxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, connections := range idle {
		for _, c := range connections {
			_ = c.Close()
		}
	}
}
