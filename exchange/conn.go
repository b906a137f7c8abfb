// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// write sends the whole request.
func (c *conn) write(r Request) error {
	var head bytes.Buffer
	head.Grow(1024 + len(r.Body))
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(r.Body)
	_, err := c.Write(head.Bytes())
	return err
}

// conn is one connection. It serves one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// idleSince is when it became idle, idleUntil when the upstream keeps it.
	idleSince, idleUntil time.Time
	// keepAliveReported says that the upstream told how long it keeps the connection.
	keepAliveReported bool
}

const readBufferBytes = 2048

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Whatever has arrived belongs to no request that is still to be sent.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, failure := syscall.Read(int(fd), one[:])
		quiet = failure == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
