// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import (
	"net"
	"syscall"
)

// Part names a part of a message in metrics and logs.
type Part string

// The parts of responses.
const (
	// Head is the status line and the header of a response, with interim and stale
	// responses before it.
	Head Part = "head"
	// Body is a body, with its chunk sizes and trailers.
	Body Part = "body"
)

// Conn is a connection that reports what is read from it. Begin, Read and End must be called
// by one goroutine, while others may write and close.
type Conn struct {
	net.Conn
	// onRead is called with the part and the number of bytes of each read.
	onRead func(Part, int)
	part   Part
}

// NewConn returns a connection whose reads are reported to onRead; nil reports nothing.
func NewConn(c net.Conn, onRead func(Part, int)) *Conn {
	if onRead == nil {
		onRead = func(Part, int) {}
	}
	return &Conn{Conn: c, onRead: onRead}
}

// Begin begins a part of a message.
func (c *Conn) Begin(part Part) { c.part = part }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead(c.part, n)
	}
	return n, err
}

// SyscallConn implements syscall.Conn. It returns EINVAL if the wrapped connection has no
// SyscallConn. Bytes read through it are not reported.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}
