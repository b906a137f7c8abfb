// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
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

// skipLimit bounds the answers that are passed over because they belong to
// earlier requests of a connection, and interim answers.
const skipLimit = 8

// writtenGrace is how long the end of an exchange waits for the word that the
// request has been written, which may come after its answer.
const writtenGrace = 5 * time.Millisecond

// drainLimit bounds the bytes that are read of such an answer.
const drainLimit = 1 << 20

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

// write sends the whole request.
func (c *conn) write(r Request) error {
	var head bytes.Buffer
	head.Grow(1024 + len(r.Body))
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(r.Body)
	_, err := c.Write(head.Bytes())
	return err
}

// readAnswer reads answers until one belongs to the request.
func (c *conn) readAnswer(r Request) (*http.Response, error) {
	crossed := false
	for range skipLimit {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, answerError(err, crossed)
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(answer.Header) {
			return answer, nil
		}
		crossed = true
		if answer.Close || !drained(answer) {
			break
		}
	}
	return nil, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
}

func drained(answer *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, drainLimit))
	return err == nil && n < drainLimit
}

func answerError(err error, crossed bool) error {
	switch {
	case crossed:
		return granitehoist.Wrap(granitehoist.AnswerCrossed, err, "")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection ended")
	}
	var malformed interface{ Timeout() bool }
	if errors.As(err, &malformed) {
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection broke")
	}
	return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
}

// keepAliveMargin is taken off what an upstream tells, for the way there.
const keepAliveMargin = 400 * time.Millisecond

// keepAlive returns how long the upstream keeps the connection, zero if it does
// not tell.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return 0
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// PassedOn returns a copy of a header without what belongs to one connection.
func PassedOn(h http.Header) http.Header {
	passed := h.Clone()
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
