// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tcpstate

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is the state of a TCP connection. The zero value is that of a connection of which
// nothing is known.
type State struct {
	// SinceLastData is the time since the latest bytes of the peer arrived, whether or not
	// they have been read. The kernel counts it in steps of some milliseconds; time for which
	// the machine is suspended does not count.
	SinceLastData time.Duration
	// PeerClosed is set if the peer has closed or reset the connection, or its side of it.
	PeerClosed bool
}

// Of returns the state of a connection. It returns the zero State for a connection that is no
// TCP connection or was closed by this process.
//
// Reference: tcp(7), TCP_INFO.
func Of(c net.Conn) State {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return State{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return State{}
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return State{}
	}
	return stateOf(info)
}

// stateOf returns the State that a TCP_INFO describes.
func stateOf(info *unix.TCPInfo) State {
	s := State{SinceLastData: time.Duration(info.Last_data_recv) * time.Millisecond}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
		s.PeerClosed = true
	}
	return s
}

// connKey is the key of the connection in a context.
type connKey struct{}

// NewContext returns a context that carries a connection. It is meant for
// http.Server.ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// OfContext returns the state of the connection that a context carries, and the zero State if
// it carries none.
func OfContext(ctx context.Context) State {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return State{}
	}
	return Of(c)
}
