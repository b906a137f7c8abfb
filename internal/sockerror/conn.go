// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package sockerror

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer has closed its side of the
// connection in good order. At io.EOF it ends a Write in progress, and no later one succeeds:
// an HTTP client has no use for a connection after the last response.
type Conn struct {
	net.Conn

	// mu is held during Write and guards failure.
	mu sync.Mutex
	// failure is the error of the connection that a Write got, nil if none did.
	failure error
}

// NewConn returns a Conn that reads from c and writes to it.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the connection its error is that of a Write if the
// connection failed, and io.EOF otherwise.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// If the connection failed, the call that got its error has returned from the kernel, but
	// Write may not have recorded it. If the peer closed its side, a Write may be waiting for
	// the peer to read, perhaps for ever. The deadline ends it.
	if deadlineErr := c.SetWriteDeadline(time.Unix(1, 0)); deadlineErr != nil {
		return n, deadlineErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// isFailure reports whether the error of a Write is that of a failed connection. EPIPE is not:
// it means that the peer had closed its side before it reset the connection, or that the
// failure was reported to the reader.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn. It returns EINVAL if the wrapped connection has no
// SyscallConn. Errors of reads and writes through it are not recorded.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}

// Dial opens a connection, like the method DialContext of net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap returns a Dial that opens connections with dial and returns them as Conns.
func Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
