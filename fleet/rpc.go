// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// HandlerFunc serves one method of a Server.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Handle returns a HandlerFunc that decodes the parameters for serve.
func Handle[Params, Result any](serve func(context.Context, Params) (Result, error)) HandlerFunc {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params Params
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return serve(ctx, params)
	}
}

// envelope is what a call carries: whom it is for, and the method's own
// parameters. An address may have passed to another router since the caller
// learnt it, even to one of another fleet.
type envelope struct {
	To     granitehoist.Incarnation `json:"to"`
	Params json.RawMessage          `json:"params"`
}

// ErrOtherIncarnation says that another router than the one called answers at
// its address.
var ErrOtherIncarnation = errors.New("fleet: another incarnation has the address")

// codeOtherIncarnation is the JSON-RPC error code of a call for another incarnation.
const codeOtherIncarnation = -32001

// Server serves the calls of other routers.
type Server struct {
	self      granitehoist.Incarnation
	methods   map[string]HandlerFunc
	greetings map[string]HandlerFunc

	mu       sync.Mutex
	listener net.Listener
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
	done     sync.WaitGroup
}

// ServerSettings configure a Server.
type ServerSettings struct {
	// Self is the incarnation that is served; calls for others are refused.
	Self granitehoist.Incarnation
	// Methods holds the handlers by method name.
	Methods map[string]HandlerFunc
	// Greetings holds those of methods that a caller may use before it knows
	// the incarnation at an address. Their replies must name it.
	Greetings map[string]HandlerFunc
}

// NewServer returns a server that does not listen yet. It panics if the
// settings have no incarnation.
func NewServer(s ServerSettings) *Server {
	if s.Self == "" {
		panic("fleet: server without incarnation")
	}
	return &Server{self: s.Self, methods: s.Methods, greetings: s.Greetings, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Serve takes connections from a listener until Close. After Close it closes
// the listener and returns.
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

func (s *Server) startConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	c := jsonrpc2.NewConn(context.Background(), newStream(conn), handler, jsonrpc2.SetLogger(discardLog))
	s.conns[c] = struct{}{}
	s.done.Go(func() {
		<-c.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// discardLog keeps the library from writing lines of its own: what fails is told to
// the caller.
var discardLog = log.New(io.Discard, "", 0)

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}

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
		return nil, &jsonrpc2.Error{Code: codeOtherIncarnation, Message: "this is router " + string(s.self) + " and not " + string(e.To)}
	}
	return serve(ctx, e.Params)
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// Client calls other routers and keeps one connection to each. It implements
// granitehoist.Caller.
type Client struct {
	settings ClientSettings
	mu       sync.Mutex
	conns    map[string]*jsonrpc2.Conn
}

// ClientSettings configure a Client. The zero value works.
type ClientSettings struct {
	// Timeout bounds a call, connecting included; zero stands for one second.
	Timeout time.Duration
}

const defaultCallTimeout = time.Second

// NewClient returns a client without connections.
func NewClient(s ClientSettings) *Client {
	defaults.Set(&s.Timeout, defaultCallTimeout)
	return &Client{settings: s, conns: map[string]*jsonrpc2.Conn{}}
}

// Call implements granitehoist.Caller.
func (c *Client) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return eris.Wrapf(err, "fleet: parameters of %s", method)
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	conn, err := c.conn(ctx, to.Address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, envelope{To: to.Incarnation, Params: raw}, result)
	answer, answered := err.(*jsonrpc2.Error)
	if err != nil && !answered {
		c.discard(to.Address, conn)
	}
	if answered && answer.Code == codeOtherIncarnation {
		err = eris.Wrap(ErrOtherIncarnation, answer.Message)
	}
	return eris.Wrapf(err, "fleet: call of %s at %s", method, to.Address)
}

func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "fleet: connect to %s", address)
	}
	conn = jsonrpc2.NewConn(context.Background(), newStream(raw), refuseAll{}, jsonrpc2.SetLogger(discardLog))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) discard(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// refuseAll is the handler of a connection on which only this side calls.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side serves no calls"})
	}
}
