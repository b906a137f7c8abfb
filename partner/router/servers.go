// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/settings"
)

// servers answer callers, operators and other routers, each at its own address.
type servers struct {
	callers, admin *http.Server
	peers          *fleet.Server

	callersListener, adminListener, peersListener net.Listener
}

const (
	// hardHeaderBytes bounds the headers that are read at all, in bytes. Below
	// it the gate refuses with a numbered code; chosen, not measured.
	hardHeaderBytes = 1 << 20
	// callersIdleTimeout is how long a caller's connection may be idle between
	// requests; chosen, not measured.
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

// build makes the HTTP servers. readTimeout bounds the reading of headers.
func (s *servers) build(callers, admin http.Handler, readTimeout time.Duration) {
	s.callers = &http.Server{
		Handler:           callers,
		MaxHeaderBytes:    hardHeaderBytes,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       callersIdleTimeout,
		// What it would log are faults of single connections.
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
	s.admin = &http.Server{Handler: admin, ReadHeaderTimeout: readTimeout}
}

// close gives up the addresses of callers and operators, whether or not Start
// has handed them to their servers, and ends all connections but the callers'.
func (s *servers) close() {
	discard(s.admin, s.callersListener, s.adminListener)
	s.peers.Close()
}

// discard closes what is being given up.
func discard(closers ...io.Closer) {
	for _, c := range closers {
		// The connections and listeners are not used any more, so that an error
		// can't matter.
		_ = c.Close()
	}
}

func (r *Router) servePeers() {
	if err := r.servers.peers.Serve(r.servers.peersListener); err != nil {
		r.logFailure("peers", err)
	}
}

func (r *Router) serveCallers() {
	r.serve("callers", r.servers.callers, r.servers.callersListener)
}

func (r *Router) serveAdmin() {
	r.serve("admin", r.servers.admin, r.servers.adminListener)
}

func (r *Router) serve(event string, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		r.logFailure(event, err)
	}
}
