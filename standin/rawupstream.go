// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// RawUpstream is an upstream that reads the head of one request on each connection, sends a
// text, which need not be a valid response, and closes the connection. It does not read the
// body of the request. Create one with NewRawUpstream.
type RawUpstream struct {
	listener net.Listener
	text     string
	end      func(*net.TCPConn)
}

// NewRawUpstream starts an upstream on loopback that sends text and then calls end with the
// connection, before it closes it. Close must be called.
func NewRawUpstream(text string, end func(*net.TCPConn)) (*RawUpstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &RawUpstream{listener: listener, text: text, end: end}
	go u.accept()
	return u, nil
}

// Address returns the address as host:port.
func (u *RawUpstream) Address() string { return u.listener.Addr().String() }

// Close ends the upstream, but not its connections.
func (u *RawUpstream) Close() error { return u.listener.Close() }

// accept serves connections until the listener closes.
func (u *RawUpstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			go u.serve(tcp)
		}
	}
}

// serve serves a connection. Its errors mean that the client has closed the connection.
func (u *RawUpstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }() // the client notices either way
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, u.text); err == nil {
		u.end(c)
	}
}

// ResetAfter returns an end of a RawUpstream that resets the connection after a pause, in which
// the client can read what was sent.
func ResetAfter(pause time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(pause)
		// An error means that the connection has ended already.
		_ = c.SetLinger(0)
	}
}

// CloseWriteFor returns an end of a RawUpstream that closes the upstream's side of the
// connection in good order and reads nothing more. The connection closes after the period.
func CloseWriteFor(period time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		// An error means that the connection has ended already.
		_ = c.CloseWrite()
		time.Sleep(period)
	}
}
