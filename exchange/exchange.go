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
)

// Request is a request as it is sent to one upstream.
type Request struct {
	// Address is the upstream's IP and port.
	Address string
	Method  string
	// Target is the path and query as the upstream receives them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer with the given header belongs to the
	// request; nil accepts every answer.
	Matches func(http.Header) bool
	// MaxIdle bounds how long a reused connection may have been idle if its
	// upstream did not report how long it keeps it.
	MaxIdle time.Duration
}

// Response is the head of an upstream's answer and its body. Close must be called
// once. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header
	// Framed is false if the body ends with the connection.
	Framed   bool
	body     io.Reader
	complete bool
	end      func(complete bool)
}

// Read reads the body. It returns io.EOF at the end of the body, and any other
// error if the body is cut off or malformed.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept for another request unless it
// is in doubt, for example because the answer was not read to its end. Close
// waits up to 5 ms if the request has not been written yet.
func (r *Response) Close() { r.end(r.complete) }

// Do sends a request and returns the head of its answer. Its errors are
// *granitehoist.Error: UpstreamRefused if nothing was sent, UpstreamLost,
// UpstreamBadAnswer or AnswerCrossed if the upstream may have run it. When ctx
// ends the connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, r Request, now time.Time) (*Response, error) {
	c, err := p.get(ctx, r.Address, r.MaxIdle, now)
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "no connection")
	}
	stop := context.AfterFunc(ctx, func() { discard(c) })
	writing := newWriting()
	go func() { writing.ended <- c.write(r, writing) }()
	answer, err := c.readAnswer(r)
	if err != nil {
		// The result of the writing does not matter: the request may have run
		// either way, and on a broken connection reading fails too.
		stop()
		discard(c)
		return nil, err
	}
	framed := isFramed(answer)
	return &Response{
		Status: answer.StatusCode,
		Header: answer.Header,
		Framed: framed,
		body:   answer.Body,
		end: func(complete bool) {
			p.finish(c, answer.Header, outcome{
				complete:  complete,
				cancelled: !stop(),
				written:   writing.complete(),
				framed:    framed,
				closing:   answer.Close,
				surplus:   c.reader.Buffered(),
			})
		},
	}, nil
}

// finish keeps the connection of an ended exchange unless it is in doubt.
func (p *Pool) finish(c *conn, header http.Header, o outcome) {
	if o.doubt() != noDoubt {
		discard(c)
		return
	}
	p.put(c, keepAlive(header), p.settings.Clock())
}

// isFramed reports whether an answer states where its body ends.
func isFramed(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}
