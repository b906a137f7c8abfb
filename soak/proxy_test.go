// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with the bytes of its connections.
type proxyMode int

const (
	// pass: bytes go through at once.
	pass proxyMode = iota
	// delay: each piece waits for delayTime.
	delay
	// silence: no byte goes through, and no connection ends.
	silence
	// reset: all connections are reset, new ones as well.
	reset
	// mute: the connections that are open go silent for good, and new ones work.
	mute
)

// faultyModes is the number of modes after pass.
const faultyModes = int(mute)

// delayTime is how long a delaying proxy holds each piece.
const delayTime = 120 * time.Millisecond

// proxy passes connections on to an address with the fault of its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
	// muted are the connections that have gone silent for good.
	muted map[net.Conn]struct{}
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}, muted: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. A reset ends all connections, mute silences them.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c := range p.conns {
		switch mode {
		case reset:
			abort(c)
		case mute:
			p.muted[c] = struct{}{}
		case pass, delay, silence:
		}
	}
}

// abort resets a connection. An error means that it has ended already.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) present() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) isMuted(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, muted := p.muted[c]
	return muted
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

// serve connects a client with the target until both directions have ended.
func (p *proxy) serve(client net.Conn) {
	if p.present() == reset {
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
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client) })
	both.Go(func() { p.copy(client, server) })
	both.Wait()
	p.mu.Lock()
	for _, c := range []net.Conn{client, server} {
		delete(p.conns, c)
		delete(p.muted, c)
	}
	p.mu.Unlock()
	// Both directions have ended, so an error of Close changes nothing.
	_ = client.Close()
	_ = server.Close()
}

// copy passes bytes on in one direction. In the mode silence it waits until the
// mode changes.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.present() == silence {
			time.Sleep(10 * time.Millisecond)
		}
		if p.isMuted(from) {
			if err != nil {
				// Nobody hears of the end in time; this only frees the other side.
				abort(to)
				return
			}
			continue
		}
		if p.present() == delay {
			time.Sleep(delayTime)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				// An error means that the other direction has ended too.
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (p *proxy) close() {
	// The listener is thrown away; accept ends with it.
	_ = p.listener.Close()
	p.set(reset)
}
