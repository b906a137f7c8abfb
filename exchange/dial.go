// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/internal/sockerror"
)

// Dialer opens connections, like net.Dialer. Implementations must be safe for concurrent
// use.
type Dialer interface {
	// DialContext connects to address until ctx ends.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Detour opens connections to upstreams through other routers. Implementations must be
// safe for concurrent use.
type Detour interface {
	// DialUpstream connects to an upstream until ctx ends. Its error wraps ErrNoDetour if
	// no other router can open a connection now, and syscall.ECONNREFUSED if the upstream
	// refused it.
	DialUpstream(ctx context.Context, upstream granitehoist.Upstream) (net.Conn, error)
}

// ErrNoDetour is the error of a Detour without a router to go through.
var ErrNoDetour = errors.New("exchange: no other router opens connections to upstreams for this one")

// noDetour is the Detour of a router without neighbours.
type noDetour struct{}

// DialUpstream implements Detour.
func (noDetour) DialUpstream(context.Context, granitehoist.Upstream) (net.Conn, error) {
	return nil, ErrNoDetour
}

const (
	// connectTimeout bounds a dial, so that time is left for another attempt.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. It also decides when keep-alive probes give up.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval is the idle time before the first TCP keep-alive probe and the time
	// between probes. One second is the minimum of the socket option.
	probeInterval = time.Second
	// maxProbes is the number of unanswered probes after which the kernel closes a
	// connection.
	maxProbes = 2
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT: how long, in milliseconds, sent
// bytes may stay unacknowledged. Package syscall lacks it on some architectures.
const tcpUserTimeout = 18

// NewDialer returns a dialer whose connections detect unresponsive peers and hold few bytes
// that were not read.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    maxProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			if err := readlimit.LimitSocket(raw); err != nil {
				return err
			}
			return raw.Control(func(fd uintptr) {
				// Without the option an unresponsive peer is detected later, by the
				// keep-alive probes or the deadline of the attempt.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
		},
	}
}

// Path returns the state of the direct path to the upstreams.
func (p *Pool) Path() PathState { return p.path.current() }

// Probe dials an upstream directly, closes the connection and judges the direct path by the
// result. Its error is that of the dial.
func (p *Pool) Probe(ctx context.Context, upstream granitehoist.Upstream, address string) error {
	c, err := p.DialDirect(ctx, upstream, address)
	if err == nil {
		discard(c)
	}
	return err
}

// DialDirect connects to an upstream without a detour, within connectTimeout. Reads from the
// connection return io.EOF only if the upstream closed it in good order, also while another
// goroutine writes.
func (p *Pool) DialDirect(ctx context.Context, upstream granitehoist.Upstream, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.settings.Dialer.DialContext(ctx, "tcp", address)
	result := DialResultOf(err)
	p.settings.OnDial(result)
	if p.path.record(upstream, result) {
		p.settings.OnPathChange()
	}
	if err != nil {
		return nil, err
	}
	p.settings.OnOpen()
	return p.settings.Meter.Conn(sockerror.NewConn(raw)), nil
}

// dial opens a connection for a request. While the direct path is lost it takes a detour.
// Its error has code UpstreamsUnreachable if it did not dial, because several upstreams, this
// one among them, failed in a row and there is no detour. It has code UpstreamRefused if the
// upstream did not accept the connection.
func (p *Pool) dial(ctx context.Context, upstream granitehoist.Upstream, address string) (*conn, error) {
	started := p.settings.Clock()
	raw, detour, err := p.open(ctx, upstream, address)
	if err != nil {
		return nil, err
	}
	limited := readlimit.NewConn(raw, readlimit.ConnSettings{Memory: p.settings.ReadMemory, BufferBytes: readBufferBytes, OnRead: p.settings.OnRead})
	return &conn{Conn: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), address: address, detour: detour, connectTime: p.settings.Clock().Sub(started)}, nil
}

// open connects to an upstream directly or through the detour, and reports which.
func (p *Pool) open(ctx context.Context, upstream granitehoist.Upstream, address string) (raw net.Conn, detour bool, err error) {
	var direct error
	if state := p.Path(); state == PathOpen || state == PathSuspect {
		raw, err := p.DialDirect(ctx, upstream, address)
		if err == nil || p.Path() == PathOpen {
			return raw, false, cannotConnect(err)
		}
		direct = err
	}
	raw, err = p.dialDetour(ctx, upstream)
	if !errors.Is(err, ErrNoDetour) {
		return raw, true, cannotConnect(err)
	}
	switch {
	case direct != nil:
		return nil, false, cannotConnect(direct)
	case p.path.isHopeless(upstream):
		return nil, false, granitehoist.Wrap(granitehoist.UpstreamsUnreachable, err, "")
	}
	raw, err = p.DialDirect(ctx, upstream, address)
	return raw, false, cannotConnect(err)
}

// dialDetour connects to an upstream through the detour, within connectTimeout.
func (p *Pool) dialDetour(ctx context.Context, upstream granitehoist.Upstream) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.settings.Detour.DialUpstream(ctx, upstream)
	if err != nil {
		return nil, err
	}
	if p.path.confirm(upstream) {
		p.settings.OnPathChange()
	}
	return p.settings.Meter.Conn(raw), nil
}

// cannotConnect returns the error of a dial with its result code, nil for nil.
func cannotConnect(err error) error {
	if err == nil {
		return nil
	}
	return granitehoist.Wrap(granitehoist.UpstreamRefused, err, "cannot connect")
}
