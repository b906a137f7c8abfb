// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/httpvalid"
	"granitehoist.example/granitehoist/internal/readlimit"
)

const (
	// maxResponsesRead bounds the responses read for one request, since interim and stale
	// responses may precede its own.
	maxResponsesRead = 8
	// maxDrainBytes bounds the body of a stale response that is read in order to reach the
	// next response, maxDrainTime the time for it.
	maxDrainBytes = 1 << 20
	maxDrainTime  = time.Second
	// maxHeadBytes bounds the heads of the responses to one request, interim ones included.
	maxHeadBytes = 32 << 10
	// maxFramingBytes bounds the chunk sizes and trailers of a body, beside as many bytes as
	// the body itself has. Chunks of a byte each would cost much processor time.
	maxFramingBytes = 64 << 10
	// MaxPartTime bounds the time from the first to the last byte of a head or an event,
	// which an upstream writes at once. It is longer than the time after which the kernel
	// closes a connection whose peer does not respond.
	MaxPartTime = 3500 * time.Millisecond
)

// The limits of the parts of responses.
var (
	headLimits  = readlimit.Limits{Part: readlimit.Head, MaxBytes: maxHeadBytes, MaxTime: MaxPartTime, Kept: true}
	drainLimits = readlimit.Limits{Part: readlimit.Body, MaxBytes: maxDrainBytes, MaxTime: maxDrainTime, FromBegin: true}
	bodyLimits  = readlimit.Limits{Part: readlimit.Body, Trickle: true}
)

// responseKind is the relation of a response to the current request.
type responseKind int

const (
	// interim responses (1xx) precede a final one.
	interim responseKind = iota
	// matched responses belong to the request.
	matched
	// stale responses belong to an earlier request on the connection.
	stale
)

// classifyResponse returns the relation of a response to the request. matches reports
// whether a header belongs to the request; it is called for final responses only, and nil
// matches every header.
func classifyResponse(status int, header http.Header, matches func(http.Header) bool) responseKind {
	switch {
	case status < http.StatusOK:
		return interim
	case matches == nil || matches(header):
		return matched
	}
	return stale
}

// readResponse reads responses until one belongs to the request. It skips interim
// responses, and stale ones, which trace counts, if their bodies can be read to the end. No
// response may be invalid: those after it might be parts of it.
func (c *conn) readResponse(r Request, trace *Trace) (*http.Response, error) {
	c.beginPart(headLimits)
	for range maxResponsesRead {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err == nil {
			err = httpvalid.Response(response)
		}
		if err != nil {
			return nil, classifyReadError(c.Cause(err), trace.Stale > 0)
		}
		switch classifyResponse(response.StatusCode, response.Header, r.Matches) {
		case interim:
			c.Pause(int64(c.reader.Buffered()))
			continue
		case matched:
			c.beginPart(bodyLimits)
			return response, nil
		case stale:
			trace.Stale++
		}
		c.beginPart(drainLimits)
		if response.Close || !drain(response) {
			return nil, c.staleError()
		}
		c.beginPart(headLimits)
	}
	return nil, classifyReadError(&readlimit.Error{Part: readlimit.Head, Bound: readlimit.Responses}, trace.Stale > 0)
}

// errStaleResponse means that a response to an earlier request could not be skipped.
var errStaleResponse = errors.New("exchange: a stale response can't be read to its end")

// staleError returns the error for a stale response that could not be skipped. Only one without
// an end exceeds a bound: a slow one may be sound.
func (c *conn) staleError() error {
	cause := errStaleResponse
	if exceeded := readlimit.Of(c.Cause(errStaleResponse)); exceeded != nil && exceeded.Bound == readlimit.Bytes {
		cause = exceeded
	}
	return granitehoist.Wrap(granitehoist.AnswerCrossed, cause, "")
}

// beginPart begins a part of a response, to which the buffered bytes belong.
func (c *conn) beginPart(l readlimit.Limits) { c.Begin(l, int64(c.reader.Buffered())) }

// excessiveFraming holds the errors of net/http for chunk sizes and trailers that are too long,
// besides http.ErrLineTooLong. They have no variables.
var excessiveFraming = []string{
	"http chunk length too large",
	"chunked encoding contains too much non-data",
	"http: suspiciously long trailer after chunked body",
}

// bodyError returns the error of a read of a body: a *readlimit.Error if the body exceeded a
// bound of its connection, or its framing one of net/http. read is the number of bytes of the
// body that were read.
func (c *conn) bodyError(err error, read int64) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	if errors.Is(err, http.ErrLineTooLong) || slices.Contains(excessiveFraming, err.Error()) {
		return &readlimit.Error{Part: readlimit.Body, Bound: readlimit.Framing, Read: read}
	}
	return c.Cause(err)
}

// drain reads the body of a skipped response and reports whether it reached the end
// within maxDrainBytes.
func drain(response *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

// classifyReadError returns the error for a response that could not be read. The request
// may have run in each case. The code is AnswerCrossed if a stale response arrived first,
// UpstreamLost if the connection ended, failed, or was closed because the context ended,
// and UpstreamBadAnswer if the bytes received are not an HTTP response or exceed a bound.
func classifyReadError(err error, sawStale bool) error {
	// Connection errors implement the Timeout method of net.Error, net.ErrClosed included.
	var network interface{ Timeout() bool }
	switch {
	case sawStale:
		return granitehoist.Wrap(granitehoist.AnswerCrossed, err, "")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection was closed before the response was complete")
	case errors.As(err, &network):
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection broke")
	}
	return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, &parseError{err}, "")
}

// maxParseErrorBytes bounds the text of a parseError.
const maxParseErrorBytes = 256

// parseError is an error of a parser, whose text may quote all that was received.
type parseError struct{ cause error }

// Error implements error.
func (e *parseError) Error() string {
	text := e.cause.Error()
	if len(text) > maxParseErrorBytes {
		text = text[:maxParseErrorBytes] + "..."
	}
	return text
}

// Unwrap returns the error of the parser.
func (e *parseError) Unwrap() error { return e.cause }
