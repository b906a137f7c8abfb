// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package linkmeter counts the bytes sent and received over the connections of a
// process, to measure the load of the box's network link. TCP/IP headers and
// retransmissions are not counted.
//
// In granitehoist-edge, package node wraps its listeners, package exchange wraps its
// connections, and node/shedding.go reads the rates. A Meter has two atomic counters.
// Begin reading at Meter.Conn.
package linkmeter

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Meter counts bytes in both directions. The zero value is ready to use, and a
// nil Meter counts nothing. It is safe for concurrent use.
type Meter struct{ received, sent atomic.Int64 }

// Reading holds the counts of a Meter at one time.
type Reading struct {
	At time.Time
	// Received and Sent are bytes.
	Received, Sent int64
}

// Read returns the current counts. It panics on a nil Meter.
func (m *Meter) Read(now time.Time) Reading {
	return Reading{At: now, Received: m.received.Load(), Sent: m.sent.Load()}
}

// Rate returns the bytes per second since an earlier reading, zero if no time has passed.
// Links are full duplex, so it is the rate of the busier direction.
func (r Reading) Rate(earlier Reading) float64 {
	seconds := r.At.Sub(earlier.At).Seconds()
	if seconds <= 0 {
		return 0
	}
	return float64(max(r.Received-earlier.Received, r.Sent-earlier.Sent)) / seconds
}

// Conn returns c with its bytes counted by m.
func (m *Meter) Conn(c net.Conn) net.Conn {
	if m == nil {
		return c
	}
	return &conn{Conn: c, meter: m}
}

// Listener returns l with the bytes of accepted connections counted by m.
func (m *Meter) Listener(l net.Listener) net.Listener {
	if m == nil {
		return l
	}
	return &listener{Listener: l, meter: m}
}

// listener counts the bytes of the connections that it accepts.
type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn. It returns EINVAL if the wrapped connection has
// no SyscallConn. Bytes read through it are not counted.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}
