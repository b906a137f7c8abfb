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

// Request is one sending to one upstream.
type Request struct {
	// Address is the upstream's IP and port.
	Address string
	Method  string
	// Target is the path and query as they are to arrive.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to the request.
	Matches func(http.Header) bool
	// MaxIdle bounds how long a reused connection may have rested if its
	// upstream did not tell how long it keeps it.
	MaxIdle time.Duration
}

// Response is the head of an upstream's answer and its body. Close ends the
// exchange and is to be called once.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if it is not told ahead.
	Length int64
	// Framed is false if the body ends with the connection.
	Framed   bool
	body     io.Reader
	complete bool
	end      func(whole bool)
}

// Read reads the body. io.EOF says that it is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close ends the exchange. A connection whose answer was not read to its end is
// closed with it.
func (r *Response) Close() { r.end(r.complete) }

// writtenGrace is how long the end of an exchange waits for the word that the
// request has been written, which may come after its answer.
const writtenGrace = 5 * time.Millisecond

// Do sends a request and returns the head of its answer. Its errors are
// *granitehoist.Error: UpstreamRefused if nothing was sent, UpstreamLost,
// UpstreamBadAnswer or AnswerCrossed if the upstream may have run it. When ctx
// ends the connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, r Request, now time.Time) (*Response, error) {
	c, err := p.get(ctx, r.Address, r.MaxIdle, now)
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "no connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	go func() { written <- c.write(r) }()
	response, err := c.readAnswer(r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	return p.prepare(c, response, stop, written), nil
}

// prepare returns the answer with an end that keeps the connection if it can
// serve another request.
func (p *Pool) prepare(c *conn, answer *http.Response, stop func() bool, written <-chan error) *Response {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	end := func(whole bool) {
		live := stop()
		sent := false
		select {
		case err := <-written:
			sent = err == nil
		case <-time.After(writtenGrace):
			// The upstream answered before it had the whole request, and may
			// go on reading it: nothing else may follow on this connection.
		}
		if !whole || !live || !sent || !framed || answer.Close || c.reader.Buffered() > 0 {
			_ = c.Close()
			return
		}
		p.put(c, keepAlive(answer.Header), time.Now())
	}
	return &Response{
		Status: answer.StatusCode,
		Header: answer.Header,
		Length: answer.ContentLength,
		Framed: framed,
		body:   answer.Body,
		end:    end,
	}
}
