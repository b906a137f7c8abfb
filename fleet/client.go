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

// Client calls other routers over one persistent connection to each address. It implements
// granitehoist.Caller and is safe for concurrent use.
type Client struct {
	settings ClientSettings

	// mu guards conns, the open connections by address.
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// ClientSettings configures a Client. The zero value selects the defaults.
type ClientSettings struct {
	// Timeout is the maximum duration of a call including the connection setup; zero means
	// defaultCallTimeout. An earlier deadline of the call's context takes precedence.
	Timeout time.Duration
	// Reads bounds what is read from other routers.
	Reads ReadSettings
}

// defaultCallTimeout is the default of ClientSettings.Timeout. It exceeds the time for which
// a receiver may hold a call while it waits for a change.
const defaultCallTimeout = time.Second

// NewClient returns a client without connections.
func NewClient(s ClientSettings) *Client {
	defaults.Set(&s.Timeout, defaultCallTimeout)
	return &Client{settings: s, conns: map[string]*jsonrpc2.Conn{}}
}

// Call implements granitehoist.Caller. Its errors wrap ErrOtherIncarnation if another
// incarnation responded, a *jsonrpc2.Error if the method failed at the receiver, and the
// context's error if no response arrived in time. A call without a response closes the
// connection, since the connection may be dead without an error. Other calls in progress on
// the connection then fail too.
func (c *Client) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return eris.Wrapf(err, "fleet: encode parameters of %s", method)
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	conn, err := c.conn(ctx, to.Address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, envelope{To: to.Incarnation, Params: raw}, result)
	rpcErr, responded := err.(*jsonrpc2.Error)
	if err != nil && !responded {
		c.dropConn(to.Address, conn)
	}
	if responded && rpcErr.Code == otherIncarnationCode {
		err = eris.Wrap(ErrOtherIncarnation, rpcErr.Message)
	}
	return eris.Wrapf(err, "fleet: call of %s at %s", method, to.Address)
}

// conn returns the connection to an address, and opens one if there is none. Of two
// connections opened concurrently, the one that is added to conns first is used.
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
	conn = jsonrpc2.NewConn(context.Background(), newStream(raw, c.settings.Reads), rejectCalls{}, jsonrpc2.SetLogger(discardLog))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		closeQuietly(conn)
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

// dropConn closes a failed connection, so that the next call opens a new one.
func (c *Client) dropConn(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	closeQuietly(conn)
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		closeQuietly(conn)
		delete(c.conns, address)
	}
}

// rejectCalls is the handler of a client's connections. It rejects calls from the server.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		// If the error does not reach the server, its call times out.
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side serves no calls"})
	}
}
