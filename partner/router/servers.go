// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/internal/httpserver"
	"granitehoist.example/granitehoist/partner/settings"
)

// servers answer callers, operators and other routers, each at its own address.
type servers struct {
	callers, admin *httpserver.Server
	peers          *fleet.Server

	callersListener, adminListener, peersListener net.Listener
}

const (
	// hardHeaderBytes bounds the headers that are read at all, in bytes. Below it the gate
	// refuses with a numbered code.
	hardHeaderBytes = 1 << 20
	// callersIdleTimeout is how long a caller's connection may be idle between requests.
	callersIdleTimeout = time.Minute
)

// listen opens the three addresses, or none.
func (s *servers) listen(l settings.Listen) error {
	var err error
	if s.callersListener, err = net.Listen("tcp", l.Callers); err != nil {
		return eris.Wrap(err, "router: callers' address")
	}
	if s.adminListener, err = net.Listen("tcp", l.Admin); err != nil {
		discard(s.callersListener)
		return eris.Wrap(err, "router: admin address")
	}
	if s.peersListener, err = net.Listen("tcp", l.Peers); err != nil {
		discard(s.callersListener, s.adminListener)
		return eris.Wrap(err, "router: peers' address")
	}
	return nil
}

// build makes the HTTP servers. readTimeout bounds the reading of headers; failed
// gets what the callers' server reports by itself, such as a handler's panic.
func (s *servers) build(callers, admin http.Handler, readTimeout time.Duration, failed func(error)) {
	s.callers = httpserver.New(httpserver.Settings{
		Handler:       callers,
		HeaderBytes:   hardHeaderBytes,
		HeaderTimeout: readTimeout,
		IdleTimeout:   callersIdleTimeout,
		Failed:        failed,
	}, s.callersListener)
	s.admin = httpserver.New(httpserver.Settings{Handler: admin, HeaderTimeout: readTimeout}, s.adminListener)
}

// discard closes listeners that took no connection.
func discard(listeners ...net.Listener) {
	for _, l := range listeners {
		// listen returns the error that matters.
		_ = l.Close()
	}
}

func (r *Router) servePeers() {
	if err := r.servers.peers.Serve(r.servers.peersListener); err != nil {
		r.logFailure("peers", err)
	}
}

func (r *Router) serve(event string, server *httpserver.Server) {
	if err := server.Serve(); err != nil {
		r.logFailure(event, err)
	}
}
