// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"errors"
	"io"
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
)

const (
	// maxResponsesRead bounds the responses read for one request, since interim and stale
	// responses may precede its own.
	maxResponsesRead = 8
	// maxDrainBytes bounds the body of a stale response that is read in order to reach the
	// next response.
	maxDrainBytes = 1 << 20
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
// responses, and stale ones if their bodies can be read to the end.
func (c *conn) readResponse(r Request) (*http.Response, error) {
	sawStale := false
	c.Begin(readlimit.Head)
	for range maxResponsesRead {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, classifyReadError(err, sawStale)
		}
		switch classifyResponse(response.StatusCode, response.Header, r.Matches) {
		case interim:
			continue
		case matched:
			c.Begin(readlimit.Body)
			return response, nil
		case stale:
			sawStale = true
		}
		if response.Close || !drain(response) {
			break
		}
	}
	return nil, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
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
// and UpstreamBadAnswer if the bytes received are not an HTTP response.
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
	return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
}
