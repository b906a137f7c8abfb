// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tunnel

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/httpvalid"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// Client opens tunnels at other routers. The zero value works. It is safe for concurrent
// use.
type Client struct {
	// Dialer opens the connections to the other routers; nil means exchange.NewDialer.
	Dialer exchange.Dialer
}

const (
	// headerUpstream is the id of the upstream that a tunnel leads to.
	headerUpstream = "Upstream-Id"
	// connectTarget is the target of all CONNECT requests. An id may not be a valid one.
	connectTarget = "upstream"
)

const (
	// readBufferBytes is the size of the read buffer of a tunnel.
	readBufferBytes = 2048
	// maxHeadBytes bounds the head of the response to a CONNECT request.
	maxHeadBytes = 8 << 10
)

// Dial opens a connection to an upstream through the router whose Server listens at
// address. It ends with ctx, which no longer matters afterwards. Its errors are those of
// the package if the router responded, and errors of the network otherwise.
func (c *Client) Dial(ctx context.Context, address string, upstream granitehoist.Upstream) (net.Conn, error) {
	dialer := c.Dialer
	if dialer == nil {
		dialer = exchange.NewDialer()
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	// An error of Close can't be handled: the connection is not used any further.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	reader, err := connect(raw, upstream)
	if !stop() {
		return nil, ctx.Err()
	}
	if err != nil {
		// The connection carried nothing.
		_ = raw.Close()
		return nil, err
	}
	return newConn(raw, reader), nil
}

// connect sends the CONNECT request and reads the head of its response. The error is a
// *readlimit.Error if the head exceeds a bound, an *httpvalid.Error if it is invalid.
func connect(raw net.Conn, upstream granitehoist.Upstream) (*bufio.Reader, error) {
	request := &http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Opaque: connectTarget},
		Host:   connectTarget,
		Header: http.Header{headerUpstream: {string(upstream)}},
	}
	if err := request.Write(raw); err != nil {
		return nil, err
	}
	limited := readlimit.NewConn(raw, readlimit.ConnSettings{})
	limited.Begin(readlimit.Limits{Part: readlimit.Head, MaxBytes: maxHeadBytes}, 0)
	reader := bufio.NewReaderSize(limited, readBufferBytes)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, limited.Cause(err)
	}
	if err := httpvalid.Response(response); err != nil {
		return nil, err
	}
	limited.End()
	return reader, errorOf(response.StatusCode)
}
