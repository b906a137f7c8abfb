// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// cutKind says what a cut does to the connections of a link.
type cutKind int

const (
	// connected: there is no cut.
	connected cutKind = iota
	// hanging: nothing passes, and new connections get no response.
	hanging
	// resetting: established connections are reset and new ones are refused.
	resetting
	// refusing: established connections live on and new ones are refused.
	refusing
)

// cutKindCount is the number of kinds other than connected.
const cutKindCount = int(refusing)

// link carries the connections of one process to one worker. Unlike a proxy it cuts them as
// a network does: new connections fail before they are established.
type link struct {
	address, target string

	// mu guards the fields below it.
	mu       sync.Mutex
	kind     cutKind
	listener net.Listener
	// unresponsive is the listener that responds to no connection, zero if there is none,
	// and fillers the connections that fill its queue.
	unresponsive int
	fillers      []net.Conn
	conns        map[net.Conn]struct{}
	// resumed is closed when the link no longer hangs; nil if it does not.
	resumed chan struct{}
}

// newLink opens a link at an address with port 0.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go l.accept(listener)
	return l, nil
}

// set changes the kind of the cut.
func (l *link) set(kind cutKind) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reopen()
	l.kind = kind
	switch kind {
	case connected:
		var err error
		if l.listener, err = listenAgain(l.address); err != nil {
			return err
		}
		go l.accept(l.listener)
	case hanging:
		l.resumed = make(chan struct{})
		return l.listenUnresponsive()
	case resetting:
		for c := range l.conns {
			abort(c)
		}
	case refusing:
	}
	return nil
}

// listenAgain listens at an address that was closed before. The kernel may take some time to
// free it.
func listenAgain(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	for end := time.Now().Add(time.Second); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	return listener, err
}

// reopen ends the effects of the current kind. The caller holds mu.
func (l *link) reopen() {
	if l.listener != nil {
		// Closing the listener stops accept.
		_ = l.listener.Close()
		l.listener = nil
	}
	if l.resumed != nil {
		close(l.resumed)
		l.resumed = nil
	}
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
	if l.unresponsive != 0 {
		_ = syscall.Close(l.unresponsive)
		l.unresponsive = 0
	}
}

// listenUnresponsive opens a listener with a full queue, which drops the first packet of
// each connection. The caller holds mu.
func (l *link) listenUnresponsive() error {
	address, err := net.ResolveTCPAddr("tcp4", l.address)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	l.unresponsive = fd
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 2 {
		// The queue is full when a connection times out.
		if c, err := net.DialTimeout("tcp", l.address, 20*time.Millisecond); err == nil {
			l.fillers = append(l.fillers, c)
		}
	}
	return nil
}

func (l *link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

// serve copies bytes between a client and the target until either side ends.
func (l *link) serve(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		abort(client)
		return
	}
	l.mu.Lock()
	l.conns[client], l.conns[server] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(server, client) })
	copies.Go(func() { l.copy(client, server) })
	copies.Wait()
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

// copy copies bytes in one direction, and closes both connections at its end.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if resumed := l.hang(); resumed != nil {
			<-resumed
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		switch err {
		case nil:
			continue
		case io.EOF:
			_ = to.Close()
		default:
			abort(to)
		}
		_ = from.Close()
		return
	}
}

// hang returns the channel that is closed when the link no longer hangs, nil if it does not.
func (l *link) hang() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumed
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reopen()
	for c := range l.conns {
		abort(c)
	}
}
