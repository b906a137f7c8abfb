// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/linkmeter"
	"granitehoist.example/granitehoist/internal/readlimit"
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
	// Detour opens connections while the direct path to the upstreams is lost; nil means
	// that there is none.
	Detour Detour
	// OnDial, if set, is called with the result of each direct dial, and OnOpen for each
	// that succeeded, by the goroutine that dialed. OnPathChange, if set, is called in the
	// same way after a change of Pool.Path.
	OnOpen       func()
	OnDial       func(DialResult)
	OnPathChange func()
	// ReadMemory is the memory that the heads of responses share with other reads; nil has
	// no limit.
	ReadMemory *readlimit.Memory
	// OnRead, if set, is called with the part of a response and the number of bytes of each
	// read from an upstream. It must be safe for concurrent use.
	OnRead func(readlimit.Part, int)
}

const (
	// idleTimeout is the maximum idle time of a connection, and the default for upstreams
	// that send no keep-alive timeout.
	idleTimeout = 4 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one address, since upstreams limit
	// the number of their connections.
	maxIdlePerUpstream = 16
)

// Pool sends requests to upstreams over a pool of persistent connections. It is safe for
// concurrent use. Create one with NewPool.
type Pool struct {
	settings Settings
	path     directPath

	// mu guards idle.
	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
}

// NewPool returns a Pool without connections.
func NewPool(s Settings) *Pool {
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Dialer == nil {
		s.Dialer = NewDialer()
	}
	if s.Detour == nil {
		s.Detour = noDetour{}
	}
	if s.OnOpen == nil {
		s.OnOpen = func() {}
	}
	if s.OnDial == nil {
		s.OnDial = func(DialResult) {}
	}
	if s.OnPathChange == nil {
		s.OnPathChange = func() {}
	}
	return &Pool{settings: s, idle: map[string][]*conn{}}
}

// get returns a reusable idle connection for a request, or else a new one. Its error is
// that of dial.
func (p *Pool) get(ctx context.Context, r *Request, now time.Time) (*conn, error) {
	for {
		c := p.takeIdle(r, now)
		if c == nil {
			return p.dial(ctx, r.Upstream, r.Address)
		}
		if c.healthy() {
			return c, nil
		}
		discard(c)
	}
}

// takeIdle removes and returns the most recently used connection that is reusable for a
// request, and nil if there is none. It closes the connections that it finds to be idle for
// too long, and passes over those that carried a request with the same id.
func (p *Pool) takeIdle(r *Request, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[r.Address]
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		expired := !c.idlePeriod.reusable(r.MaxIdle, now)
		if !expired && !c.history.mayCarry(r.ID) {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		p.setIdle(r.Address, idle)
		if !expired {
			return c
		}
		discard(c)
	}
	return nil
}

// setIdle replaces the idle connections to an address. The caller holds mu.
func (p *Pool) setIdle(address string, idle []*conn) {
	if len(idle) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = idle
}

// put adds a connection to the idle ones, or closes it if there are too many or it has
// carried maxExchanges requests. keepAlive is the keep-alive timeout that the upstream sent,
// zero if it sent none.
func (p *Pool) put(c *conn, keepAlive time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idlePeriod = newIdlePeriod(keepAlive, idleTimeout, now)
	if c.history.isFull() || len(p.idle[c.address]) >= maxIdlePerUpstream {
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
