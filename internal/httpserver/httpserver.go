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

	"granitehoist.example/granitehoist/internal/tcpstate"
)

// Settings configure a Server.
type Settings struct {
	Handler http.Handler
	// HeaderTimeout limits the reading of a request's header; zero sets no limit.
	HeaderTimeout time.Duration
	// RequestTimeout limits the reading of a whole request, with a body that Handler does
	// not read; zero sets no limit.
	RequestTimeout time.Duration
	// IdleTimeout limits how long a connection stays open without a request; zero sets
	// no limit.
	IdleTimeout time.Duration
	// HeaderBytes limits a request's header in bytes; zero selects the default of
	// net/http.
	HeaderBytes int
	// OnError is called with each error that net/http logs, such as a panic of Handler
	// with its stack, or a connection that can't be accepted. A panic with
	// http.ErrAbortHandler, which aborts a connection on purpose, is not logged. OnError
	// must be safe for concurrent use. If it is nil, errors go to standard error.
	OnError func(error)
}

// maxErrorBytes limits the message that OnError gets. net/http logs up to 64 KB of stack
// for a panic, of which the beginning has the frames next to the panic.
const maxErrorBytes = 4 << 10

// Server is an HTTP server with its listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// New returns a server for the connections of listener. It accepts none before Serve.
func New(s Settings, listener net.Listener) *Server {
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: s.HeaderTimeout,
		ReadTimeout:       s.RequestTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.HeaderBytes,
		ConnContext:       tcpstate.NewContext,
	}
	if s.OnError != nil {
		server.ErrorLog = log.New(errorWriter(s.OnError), "", 0)
	}
	return &Server{http: server, listener: listener}
}

// errorWriter passes the lines of a log.Logger on as errors.
type errorWriter func(error)

// Write implements io.Writer. A log.Logger calls it once for each line.
func (f errorWriter) Write(line []byte) (int, error) {
	message := bytes.TrimSuffix(line, []byte("\n"))
	if len(message) > maxErrorBytes {
		message = message[:maxErrorBytes]
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
	// Close ends the connections still open when ctx ended, and closes the listener of a
	// server that never served.
	s.Close()
	return err
}

// Close closes the listener and all connections at once, requests in progress
// included. A server that was closed before Serve accepts nothing.
func (s *Server) Close() {
	// An error of closing a connection can't be handled any further.
	_ = s.http.Close()
	// If Serve ran, the listener is already closed and this error is expected.
	_ = s.listener.Close()
}
