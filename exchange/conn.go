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
)

// conn is a connection to an upstream. It serves one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// idlePeriod says until when it may be reused. The lock of the pool guards it.
	idlePeriod idlePeriod
}

// readBufferBytes is the size of the read buffer that each open connection has.
const readBufferBytes = 2048

// headBytes is the size allocated for the head of a request, which grows if needed.
const headBytes = 1024

// write writes the request, head and body.
func (c *conn) write(r Request, w *writing) error {
	var head bytes.Buffer
	head.Grow(headBytes + len(r.Body))
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(r.Body)
	return w.send(c, head.Bytes())
}

// quiet reports whether an idle connection is open and has no unread bytes, which
// the next request would take for its answer. It returns false if the connection
// can't be examined.
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
