// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"granitehoist.example/granitehoist/internal/readlimit"
)

// conn is a connection to an upstream. It serves one request at a time.
type conn struct {
	*readlimit.Conn
	reader  *bufio.Reader
	address string
	// detour is set if the connection goes through another router.
	detour bool
	// history holds the ids of the requests sent on the connection. Pool.mu guards it while
	// the connection is idle.
	history history
	// idlePeriod is the time during which the idle connection may be reused. Pool.mu
	// guards idlePeriod.
	idlePeriod idlePeriod
	// connectTime is how long it took to establish the connection, zero after its first
	// response.
	connectTime time.Duration
}

// takeConnectTime returns the connect time for the first response on the connection, zero
// for the others.
func (c *conn) takeConnectTime() time.Duration {
	took := c.connectTime
	c.connectTime = 0
	return took
}

// readBufferBytes is the size of the read buffer of each open connection.
const readBufferBytes = 2048

// headBufferBytes is the initial buffer size for the head of a request.
const headBufferBytes = 1024

// write sends the head and the body of the request and records its progress in w.
func (c *conn) write(r Request, w *writeProgress) error {
	var head bytes.Buffer
	head.Grow(headBufferBytes + min(len(r.Body), finalChunkBytes))
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(r.Body) <= finalChunkBytes {
		head.Write(r.Body)
		return w.send(c, head.Bytes())
	}
	// A long body is not copied.
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	return w.send(c, r.Body)
}

// healthy reports whether an idle connection is open and has no unread bytes, which would
// be read as the response to the next request. It returns false if the state of the socket
// can't be determined.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		open = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
