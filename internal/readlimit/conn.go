// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Conn is a connection whose reads are bounded by the Limits of the current part. Begin,
// Read and End must be called by one goroutine, while others may write and close. It uses
// system time for deadlines, since the network stack enforces them.
type Conn struct {
	net.Conn
	settings ConnSettings
	limits   Limits
	// read is the number of bytes of the part that were read, held those of them that are
	// reserved.
	read int64
	held Reservation
	// spent is the time that the part took before resumedAt, which is zero until its next
	// byte.
	spent     time.Duration
	resumedAt time.Time
	window    window
	// exceeded is the error of all reads once a part exceeded a bound.
	exceeded *Error
}

// ConnSettings configure a Conn. The zero value works.
type ConnSettings struct {
	// Memory is shared with other reads; nil has no limit.
	Memory *Memory
	// BufferBytes is the size of a reader's own buffer, which does not count in Memory.
	BufferBytes int64
	// OnRead, if set, is called with the part and the number of bytes of each read.
	OnRead func(Part, int)
}

// NewConn returns a connection whose reads are not bounded before Begin.
func NewConn(c net.Conn, s ConnSettings) *Conn {
	if s.OnRead == nil {
		s.OnRead = func(Part, int) {}
	}
	return &Conn{Conn: c, settings: s, held: Reservation{Memory: s.Memory}}
}

// Begin begins a part. received is the number of its bytes that were read already.
func (c *Conn) Begin(l Limits, received int64) {
	c.End()
	c.limits, c.read = l, received
	if received > l.LeadBytes || l.FromBegin {
		c.resumedAt = time.Now()
	}
}

// Pause stops the time of the current part until its next byte. received is the number of
// the following bytes that were read already.
func (c *Conn) Pause(received int64) {
	if !c.resumedAt.IsZero() {
		c.spent += time.Since(c.resumedAt)
	}
	c.resumedAt = time.Time{}
	if received > 0 {
		c.resumedAt = time.Now()
	}
	c.clearDeadline()
}

// End ends the current part and frees its memory. Reads are not bounded until Begin.
func (c *Conn) End() {
	c.clearDeadline()
	c.held.Release()
	c.limits, c.read, c.spent, c.resumedAt = Limits{}, 0, 0, time.Time{}
}

// clearDeadline removes the deadline of the connection.
func (c *Conn) clearDeadline() {
	if !c.window.deadline.IsZero() {
		// An error means that the connection is closed, which the next read reports.
		_ = c.SetReadDeadline(time.Time{})
	}
	c.window = window{}
}

// PartBytes returns the number of bytes of the current part that were read.
func (c *Conn) PartBytes() int64 { return c.read }

// Read implements net.Conn. The error is an *Error if the part exceeds a bound.
func (c *Conn) Read(p []byte) (int, error) {
	if c.exceeded != nil {
		return 0, c.exceeded
	}
	if left := c.limits.MaxBytes - c.read; c.limits.MaxBytes > 0 {
		if left <= 0 {
			return 0, c.exceeds(Bytes)
		}
		p = p[:min(int64(len(p)), left)]
	}
	if err := c.startDeadline(); err != nil {
		return 0, err
	}
	for {
		n, err := c.Conn.Read(p)
		c.note(n)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.window.deadline.IsZero() {
			if err := c.afterDeadline(time.Now()); err != nil {
				return 0, err
			}
			continue
		}
		if n > 0 && !c.reserve() {
			return 0, c.exceeds(Shared)
		}
		return n, err
	}
}

// startDeadline sets the first deadline of a part of which a byte was read. Most parts need
// none, since they arrive at once.
func (c *Conn) startDeadline() error {
	if c.resumedAt.IsZero() || !c.window.deadline.IsZero() {
		return nil
	}
	return c.setDeadline(c.resumedAt)
}

// setDeadline begins a window of the part at a time, if the part has a deadline.
func (c *Conn) setDeadline(from time.Time) error {
	period := c.limits.period(c.spent)
	if period == 0 && c.limits.MaxTime == 0 {
		return nil
	}
	c.window = window{deadline: from.Add(period)}
	return c.SetReadDeadline(c.window.deadline)
}

// afterDeadline returns an *Error if the part exceeds a bound, and begins another window
// otherwise.
func (c *Conn) afterDeadline(now time.Time) error {
	if bound := c.limits.afterDeadline(c.window, now); bound != "" {
		return c.exceeds(bound)
	}
	c.spent = 0
	return c.setDeadline(now)
}

// note counts the bytes of a read.
func (c *Conn) note(n int) {
	if n == 0 {
		return
	}
	c.read += int64(n)
	c.window.reads++
	c.window.bytes += int64(n)
	if c.resumedAt.IsZero() && c.read > c.limits.LeadBytes {
		c.resumedAt = time.Now()
	}
	c.settings.OnRead(c.limits.Part, n)
}

// reserve reserves the bytes that the reader keeps and reports whether it may.
func (c *Conn) reserve() bool {
	if !c.limits.Kept || c.read <= c.settings.BufferBytes {
		return true
	}
	return c.held.Resize(c.read)
}

// exceeds notes that the part exceeds a bound and returns the error.
func (c *Conn) exceeds(bound Bound) error {
	c.exceeded = &Error{Part: c.limits.Part, Bound: bound, Read: c.read}
	return c.exceeded
}

// Cause returns the *Error of the connection if a part exceeded a bound, and err otherwise.
// Parsers may replace the error of a read by one of their own, about the bytes before it.
func (c *Conn) Cause(err error) error {
	if err != nil && c.exceeded != nil {
		return c.exceeded
	}
	return err
}

// SyscallConn implements syscall.Conn. It returns EINVAL if the wrapped connection has no
// SyscallConn. Reads through it are not bounded.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}
