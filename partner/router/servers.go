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

// servers holds the servers for callers, operators and other routers, each with its own
// listener.
type servers struct {
	callers, admin *httpserver.Server
	peers          *fleet.Server

	callersListener, adminListener, peersListener net.Listener
}

const (
	// maxHeaderBytes bounds the headers that the HTTP server reads, in bytes. The gate
	// enforces its lower limit with a result code.
	maxHeaderBytes = 1 << 20
	// callersIdleTimeout bounds the idle time of a caller's connection between requests.
	callersIdleTimeout = time.Minute
)

// listen opens all three listeners; on an error it leaves none open.
func (s *servers) listen(l settings.Listen) error {
	var err error
	if s.callersListener, err = net.Listen("tcp", l.Callers); err != nil {
		return eris.Wrap(err, "router: callers' address")
	}
	if s.adminListener, err = net.Listen("tcp", l.Admin); err != nil {
		closeListeners(s.callersListener)
		return eris.Wrap(err, "router: admin address")
	}
	if s.peersListener, err = net.Listen("tcp", l.Peers); err != nil {
		closeListeners(s.callersListener, s.adminListener)
		return eris.Wrap(err, "router: peers' address")
	}
	return nil
}

// build constructs the HTTP servers. readTimeout bounds the time to read headers; failed
// receives errors of the callers' server, such as panics of the handler.
func (s *servers) build(callers, admin http.Handler, readTimeout time.Duration, failed func(error)) {
	s.callers = httpserver.New(httpserver.Settings{
		Handler:       callers,
		HeaderBytes:   maxHeaderBytes,
		HeaderTimeout: readTimeout,
		IdleTimeout:   callersIdleTimeout,
		OnError:       failed,
	}, s.callersListener)
	s.admin = httpserver.New(httpserver.Settings{Handler: admin, HeaderTimeout: readTimeout}, s.adminListener)
}

// closeListeners closes listeners that are not in use yet.
func closeListeners(listeners ...net.Listener) {
	for _, l := range listeners {
		// listen returns the error that caused the close.
		_ = l.Close()
	}
}

// servePeers serves other routers until the server is closed.
func (r *Router) servePeers() {
	if err := r.servers.peers.Serve(r.servers.peersListener); err != nil {
		r.logFailure("peers", err)
	}
}

// serve runs an HTTP server until it is closed and logs its error under an event name.
func (r *Router) serve(event string, server *httpserver.Server) {
	if err := server.Serve(); err != nil {
		r.logFailure(event, err)
	}
}
