// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"net"
	"sync"
	"time"
)

// proxyMode is the fault that a proxy injects into its connections.
type proxyMode int

const (
	// forward passes bytes on without a fault.
	forward proxyMode = iota
	// slow delays each read by slowDelay.
	slow
	// stall holds back all bytes and keeps connections open.
	stall
	// reset resets all connections, including new ones.
	reset
	// blackhole discards all further bytes of the open connections. New ones work.
	blackhole
)

// faultModeCount is the number of modes other than forward.
const faultModeCount = int(blackhole)

// slowDelay is the delay of each read in the mode slow.
const slowDelay = 120 * time.Millisecond

// proxy is a TCP proxy that injects the fault of its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
	// blackholed holds the connections whose bytes are discarded.
	blackholed map[net.Conn]struct{}
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}, blackholed: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode and applies reset and blackhole to the open connections.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c := range p.conns {
		switch mode {
		case reset:
			abort(c)
		case blackhole:
			p.blackholed[c] = struct{}{}
		case forward, slow, stall:
		}
	}
}

// abort resets a connection. An error means that it is already closed.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) isBlackholed(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, discarded := p.blackholed[c]
	return discarded
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

// serve copies bytes between a client and the target until both directions have ended.
func (p *proxy) serve(client net.Conn) {
	if p.currentMode() == reset {
		abort(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(server, client) })
	copies.Go(func() { p.copy(client, server) })
	copies.Wait()
	p.mu.Lock()
	for _, c := range []net.Conn{client, server} {
		delete(p.conns, c)
		delete(p.blackholed, c)
	}
	p.mu.Unlock()
	// Both directions have ended, so an error of Close doesn't matter.
	_ = client.Close()
	_ = server.Close()
}

// copy copies bytes in one direction and applies the current mode to each read.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.currentMode() == stall {
			time.Sleep(10 * time.Millisecond)
		}
		if p.isBlackholed(from) {
			if err != nil {
				// This only releases the other side's connection.
				abort(to)
				return
			}
			continue
		}
		if p.currentMode() == slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				// An error means that the other direction has ended.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (p *proxy) close() {
	// Closing the listener stops accept.
	_ = p.listener.Close()
	p.setMode(reset)
}
