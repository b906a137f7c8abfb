// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// Request is an HTTP request to one upstream.
type Request struct {
	// Upstream identifies the upstream at Address, which is host:port.
	Upstream granitehoist.Upstream
	Address  string
	Method   string
	// Target is the request target: the escaped path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in its response. It may have been used before: the request
	// is not sent on a connection that has carried another one with this id. A request
	// without an id gets a new connection.
	ID string
	// Matches reports whether a response with the given header is one to a request with ID;
	// nil accepts every response.
	Matches func(http.Header) bool
	// MaxIdle bounds the idle time of a reused connection for which the upstream sent no
	// keep-alive timeout.
	MaxIdle time.Duration
	// Trace, if not nil, is filled in by Do.
	Trace *Trace
}

// Response is an upstream's response, whose body is read with Read. Close must be called
// once. A Response is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header
	// ConnectTime is how long it took to establish the connection, zero if the connection
	// was reused.
	ConnectTime time.Duration
	// Framed is false if the end of the connection delimits the body.
	Framed bool
	// Length is the announced length of the body, negative if there is none.
	Length int64
	conn   *conn
	body   io.Reader
	read   int64
	// divided is set once Limit has begun another part of the body.
	divided  bool
	complete bool
	end      func(complete bool)
}

// Read reads the body. It returns io.EOF at the end of the body, and another error if the
// body is truncated or malformed, or exceeds a bound (*readlimit.Error).
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.read += int64(n)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	if !r.divided && r.conn.PartBytes() > 2*r.read+maxFramingBytes {
		return 0, &readlimit.Error{Part: readlimit.Body, Bound: readlimit.Framing, Read: r.read}
	}
	return n, r.conn.bodyError(err, r.read)
}

// Limit begins another part of the body, which the limits bound. received is the number of
// its bytes that the caller has read already. Until then the body is bounded in its rate only.
func (r *Response) Limit(l readlimit.Limits, received int64) {
	r.divided = true
	r.conn.Begin(l, received+int64(r.conn.reader.Buffered()))
}

// Close ends the exchange. It returns the connection to the pool if it can be reused, and
// closes it otherwise, for example if the body was not read to its end. If the last part of
// the request is still being written, Close waits up to writeResultGrace for it.
func (r *Response) Close() { r.end(r.complete) }

// Do sends a request and returns the response after its head was read. Errors are of type
// *granitehoist.Error, with code UpstreamRefused or UpstreamsUnreachable if nothing was sent,
// and UpstreamLost, UpstreamBadAnswer or AnswerCrossed if the upstream may have run the
// request. An error wraps a *readlimit.Error if the head exceeds a bound. When ctx ends
// the connection is closed, also while the body is read. now is the current time on
// Settings.Clock.
func (p *Pool) Do(ctx context.Context, r Request, now time.Time) (*Response, error) {
	c, err := p.get(ctx, &r, now)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		discard(c)
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, ctx.Err(), "ended before it was sent")
	}
	trace := r.Trace
	if trace == nil {
		trace = &Trace{}
	}
	trace.begin(c, r.ID)
	stop := context.AfterFunc(ctx, func() { discard(c) })
	progress := newWriteProgress()
	go func() { progress.result <- c.write(r, progress) }()
	response, err := c.readResponse(r, trace)
	trace.Early = err == nil && !progress.finalChunkStarted.Load()
	if err != nil {
		// A write error needs no check: the request may have run either way, and
		// reading from a failed connection fails as well, since the connection reports
		// its failure to both sides (package sockerror; tunnels send it in a frame).
		stop()
		discard(c)
		c.End()
		return nil, err
	}
	framed := isFramed(response)
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Framed: framed,
		Length: response.ContentLength,
		conn:   c,

		ConnectTime: c.takeConnectTime(),
		body:        response.Body,
		end: func(complete bool) {
			p.finish(c, response.Header, outcome{
				complete:  complete,
				cancelled: !stop(),
				written:   progress.complete(),
				framed:    framed,
				closing:   response.Close,
				unread:    c.reader.Buffered(),
			})
		},
	}, nil
}

// finish returns the connection of an ended exchange to the pool, or closes it if it must
// not be reused.
func (p *Pool) finish(c *conn, header http.Header, o outcome) {
	c.End()
	if o.closeReason() != noReason {
		discard(c)
		return
	}
	p.put(c, keepAlive(header), p.settings.Clock())
}

// isFramed reports whether a response has a Content-Length or a transfer coding.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
