// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"granitehoist.example/granitehoist"
)

// HandlerFunc serves one method of a Server.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Handle returns a HandlerFunc that decodes the JSON parameters and calls serve. Parameters
// that cannot be decoded give the JSON-RPC error CodeInvalidParams.
func Handle[Params, Result any](serve func(context.Context, Params) (Result, error)) HandlerFunc {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params Params
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return serve(ctx, params)
	}
}

// Server serves the calls of other routers. It is safe for concurrent use.
type Server struct {
	self      granitehoist.Incarnation
	methods   map[string]HandlerFunc
	greetings map[string]HandlerFunc
	reads     ReadSettings

	// mu guards the fields below except connWaiters.
	mu       sync.Mutex
	listener net.Listener
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
	// connWaiters counts the goroutines that wait for a connection to end.
	connWaiters sync.WaitGroup
}

// ServerSettings configures a Server.
type ServerSettings struct {
	// Self is the incarnation of this router. Calls addressed to another incarnation are
	// rejected, except Greetings.
	Self granitehoist.Incarnation
	// Methods holds the handlers by method name.
	Methods map[string]HandlerFunc
	// Greetings holds the handlers of methods that a caller may use before it knows the
	// incarnation at an address. Their responses must name the incarnation. A method must
	// not be in both Methods and Greetings.
	Greetings map[string]HandlerFunc
	// Reads bounds what is read from callers.
	Reads ReadSettings
}

// NewServer returns a server that is not serving yet. It panics if Self is missing in the
// settings.
func NewServer(s ServerSettings) *Server {
	if s.Self == "" {
		panic("fleet: ServerSettings.Self is missing")
	}
	return &Server{self: s.Self, methods: s.Methods, greetings: s.Greetings, reads: s.Reads, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Serve accepts connections from a listener until Close is called, and then returns nil. If
// accepting fails before, it returns the listener's error. If Close has already been called,
// Serve closes the listener and returns the error of closing.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return eris.Wrap(err, "fleet: accept")
		}
		s.startConn(conn)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// startConn serves the calls of a connection until it ends, each on its own goroutine. A
// connection that was accepted during Close is closed at once.
func (s *Server) startConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		closeQuietly(conn)
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	c := jsonrpc2.NewConn(context.Background(), newStream(conn, s.reads), handler, jsonrpc2.SetLogger(discardLog))
	s.conns[c] = struct{}{}
	s.connWaiters.Go(func() {
		<-c.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// handle runs one call. It rejects calls addressed to another incarnation, except greetings,
// by which a caller learns the incarnation.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	serve, ok := s.methods[r.Method]
	greeting := false
	if !ok {
		serve, greeting = s.greetings[r.Method]
	}
	if (!ok && !greeting) || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method: " + r.Method}
	}
	var e envelope
	if err := json.Unmarshal(*r.Params, &e); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if e.To != s.self && !greeting {
		return nil, &jsonrpc2.Error{Code: otherIncarnationCode, Message: "this is router " + string(s.self) + " and not " + string(e.To)}
	}
	return serve(ctx, e.Params)
}

// Close closes the listener and all connections, and waits until they have ended. Calls in
// progress continue, but their responses are lost.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		closeQuietly(s.listener)
	}
	for c := range s.conns {
		closeQuietly(c)
	}
	s.mu.Unlock()
	s.connWaiters.Wait()
}
