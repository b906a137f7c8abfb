// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Client calls other routers and keeps one connection to each. It implements
// granitehoist.Caller and is safe for concurrent use.
type Client struct {
	settings ClientSettings

	// mu guards conns, the open connections by address.
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// ClientSettings configure a Client. The zero value works.
type ClientSettings struct {
	// Timeout bounds a call, connecting included; zero stands for
	// defaultCallTimeout. A call whose context ends sooner ends with it.
	Timeout time.Duration
}

// defaultCallTimeout bounds a call where the settings don't: routers of a site answer in
// milliseconds, the longest calls wait for a change at the receiver for 0.4 s.
const defaultCallTimeout = time.Second

// NewClient returns a client without connections.
func NewClient(s ClientSettings) *Client {
	defaults.Set(&s.Timeout, defaultCallTimeout)
	return &Client{settings: s, conns: map[string]*jsonrpc2.Conn{}}
}

// Call implements granitehoist.Caller. Its errors wrap ErrOtherIncarnation if
// another incarnation answered, a *jsonrpc2.Error if the method failed at the
// receiver, and the context's error if no answer came in time. A call without an
// answer closes the connection, since it may be dead without an error; other
// calls that wait on it fail as well.
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
		c.forget(to.Address, conn)
	}
	if answered && answer.Code == codeOtherIncarnation {
		err = eris.Wrap(ErrOtherIncarnation, answer.Message)
	}
	return eris.Wrapf(err, "fleet: call of %s at %s", method, to.Address)
}

// conn returns the connection to an address, and opens it if there is none. Of
// two that are opened at the same time the first is used.
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
		discard(conn)
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

// forget closes a connection that failed, so that the next call opens another.
func (c *Client) forget(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	discard(conn)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		discard(conn)
		delete(c.conns, address)
	}
}

// refuseAll is the handler of a connection on which only this side calls.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		// A server never calls its client. If one does and does not get this answer,
		// its call times out.
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side serves no calls"})
	}
}
