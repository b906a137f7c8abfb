// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// A frame is a length of four bytes, most significant first, and as many bytes of data.
// Two lengths stand for the end of the upstream's connection.
const (
	lengthBytes = 4
	// maxFrameBytes is the maximum length of a frame's data.
	maxFrameBytes = 16 << 10
	// closedLength marks that the upstream closed the connection, resetLength that the
	// connection was reset or failed.
	closedLength uint32 = 0
	resetLength  uint32 = 1<<32 - 1
)

// putLength writes the length of a frame to the beginning of a buffer.
func putLength(buffer []byte, length uint32) { binary.BigEndian.PutUint32(buffer, length) }

// endFrame returns the last frame of a connection whose read ended with err.
func endFrame(err error) []byte {
	length := resetLength
	if errors.Is(err, io.EOF) {
		length = closedLength
	}
	return binary.BigEndian.AppendUint32(nil, length)
}

// conn is the client's side of a tunnel.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of bytes of the current frame that were not read yet.
	left uint32
	// err is the error of all further reads, once the connection has ended.
	err error
}

// newConn returns the connection of a tunnel whose frames are read from reader.
func newConn(raw net.Conn, reader *bufio.Reader) *conn { return &conn{Conn: raw, reader: reader} }

// Read implements net.Conn. It returns io.EOF only if the upstream closed the connection,
// ECONNRESET if the upstream's connection failed, an error that wraps ErrBroken if the
// tunnel failed, and that of the network, after which reads may go on, at a deadline.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 || c.err != nil {
		return 0, c.err
	}
	if c.left == 0 {
		if err := c.readLength(); err != nil {
			return 0, c.end(err)
		}
	}
	n, err := c.reader.Read(p[:min(len(p), int(c.left))])
	c.left -= uint32(n)
	if err != nil {
		return n, c.end(brokenBy(err))
	}
	return n, nil
}

// end ends the connection with an error, unless that is a deadline of this side, after which
// reads may go on.
func (c *conn) end(err error) error {
	var broken *brokenError
	if errors.As(err, &broken) && errors.Is(broken.cause, os.ErrDeadlineExceeded) {
		return broken.cause
	}
	c.err = err
	return err
}

// readLength reads the length of the next frame.
func (c *conn) readLength() error {
	// A length that has arrived in part stays in the reader.
	raw, err := c.reader.Peek(lengthBytes)
	if err != nil {
		return brokenBy(err)
	}
	length := binary.BigEndian.Uint32(raw)
	if _, err := c.reader.Discard(lengthBytes); err != nil {
		return brokenBy(err)
	}
	switch {
	case length == closedLength:
		return io.EOF
	case length == resetLength:
		return &net.OpError{Op: "read", Net: "tunnel", Err: syscall.ECONNRESET}
	case length > maxFrameBytes:
		return brokenBy(errors.New("a frame is too long"))
	default:
		c.left = length
	}
	return nil
}

// brokenError is the failure of a tunnel. It hides its cause, since the end of the
// connection to the other router is not that of the upstream's connection.
type brokenError struct{ cause error }

func brokenBy(cause error) error { return &brokenError{cause: cause} }

// Error implements error.
func (e *brokenError) Error() string { return ErrBroken.Error() + ": " + e.cause.Error() }

// Is reports whether target is ErrBroken.
func (e *brokenError) Is(target error) bool { return target == ErrBroken }

// Timeout and Temporary implement net.Error.
func (e *brokenError) Timeout() bool {
	var timeout interface{ Timeout() bool }
	return errors.As(e.cause, &timeout) && timeout.Timeout()
}

// Temporary implements net.Error.
func (e *brokenError) Temporary() bool { return false }

// SyscallConn implements syscall.Conn. It returns an error while bytes are buffered, so
// that the socket alone tells whether the connection is idle and open.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if c.reader.Buffered() > 0 || c.err != nil {
		return nil, errors.New("tunnel: the connection has unread bytes or has ended")
	}
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}
