// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package httpserver

import (
	"bytes"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"
)

// Settings configure a Server.
type Settings struct {
	Handler http.Handler
	// HeaderTimeout bounds the reading of a request's header; zero sets no bound.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection stays open without a request;
	// zero sets no bound.
	IdleTimeout time.Duration
	// HeaderBytes bounds a request's header in bytes; zero stands for the
	// bound of net/http.
	HeaderBytes int
	// Failed is called with each line that net/http logs by itself: a panic of
	// Handler with its stack, a connection that can't be accepted, a response
	// whose header Handler wrote twice. A panic with http.ErrAbortHandler cuts the
	// connection on purpose and is not among them. Failed is called from several
	// goroutines. Nil writes the lines to the standard error.
	Failed func(error)
}

// maxFailureBytes bounds a line that Failed gets; the rest of it is cut off: net/http
// writes up to 64 KB of a panic's stack, of which the beginning holds the frames next to
// the panic.
const maxFailureBytes = 4 << 10

// Server is an HTTP server with its listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// New returns a server that takes its connections from listener. It accepts none
// before Serve.
func New(s Settings, listener net.Listener) *Server {
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.HeaderBytes,
	}
	if s.Failed != nil {
		server.ErrorLog = log.New(failureWriter(s.Failed), "", 0)
	}
	return &Server{http: server, listener: listener}
}

// failureWriter passes the lines of a log.Logger on as errors.
type failureWriter func(error)

// Write implements io.Writer. A log.Logger calls it once for each line.
func (f failureWriter) Write(line []byte) (int, error) {
	message := bytes.TrimSuffix(line, []byte("\n"))
	if len(message) > maxFailureBytes {
		message = message[:maxFailureBytes]
	}
	f(errors.New(string(message)))
	return len(line), nil
}

// Serve accepts connections until Close or Shutdown. It returns nil after either,
// and the listener's error if it fails before.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown closes the listener and waits until the requests in progress have
// ended. If ctx ends first it closes their connections and returns the context's
// error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	// Connections that are still open belong to requests that ran out of time; if
	// there are none, this only closes the listener of a server that never served.
	s.Close()
	return err
}

// Close closes the listener and all connections at once, requests in progress
// included. A server that was closed before Serve accepts nothing.
func (s *Server) Close() {
	// The connections are being given up: an error in closing them leaves nothing
	// to do.
	_ = s.http.Close()
	// If Serve ran, the listener is closed by now and this fails; if it did not,
	// this closes it.
	_ = s.listener.Close()
}
