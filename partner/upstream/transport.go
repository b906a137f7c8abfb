// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// HeaderAttempt is the header with the attempt id, in requests and responses.
const HeaderAttempt = "X-Request-Id"

const (
	// connectTimeout bounds the dial of a connection within a region.
	connectTimeout = time.Second
	// lookupTimeout bounds a call of Engine.Stop or Engine.List.
	lookupTimeout = time.Second
	// maxBodySize is the largest buffered response body in bytes. It bounds the memory of
	// one request.
	maxBodySize = 32 << 20
	// maxHeaderSize bounds the header of a response in bytes, maxStreamSize the whole body,
	// also of a stream, and maxLookupSize that of a response to Engine.Stop or Engine.List.
	maxHeaderSize = 32 << 10
	maxStreamSize = 64 << 20
	maxLookupSize = 8 << 20
	// bodyMemory bounds the buffered response bodies of one protocol together.
	bodyMemory = 256 << 20
	// maxIdlePerUpstream is twice config.DefaultConcurrency, so that a burst finds idle
	// connections.
	maxIdlePerUpstream = 64
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// sender makes HTTP calls. Its errors tell whether the upstream may have received any
// byte of the request. It is safe for concurrent use.
type sender struct {
	// pooled reuses connections. singleUse dials one for each call, since the standard
	// library may resend a request that failed on a reused connection.
	pooled, singleUse *http.Client
	// lookups sends the calls of Engine.Stop and Engine.List.
	lookups *http.Client
	// memory is shared by the bodies that are buffered.
	memory *readlimit.Memory
}

// newSender returns a sender that doesn't follow redirects or request compression.
func newSender() *sender {
	dialer := &net.Dialer{Timeout: connectTimeout}
	newTransport := func(disableKeepAlives bool) *http.Transport {
		return &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    maxIdlePerUpstream,
			IdleConnTimeout:        idleTimeout,
			DisableKeepAlives:      disableKeepAlives,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderSize,
		}
	}
	newClient := func(transport *http.Transport, maxBytes int64) *http.Client {
		return &http.Client{
			Transport:     &readlimit.Transport{Base: transport, MaxBytes: maxBytes},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	pooled := newTransport(false)
	return &sender{
		pooled:    newClient(pooled, maxStreamSize),
		singleUse: newClient(newTransport(true), maxStreamSize),
		lookups:   newClient(pooled, maxLookupSize),
		memory:    readlimit.NewMemory(bodyMemory),
	}
}

// newBuffer returns a buffer for the body of a response.
func (s *sender) newBuffer() *readlimit.Buffer {
	return &readlimit.Buffer{Part: readlimit.Body, MaxBytes: maxBodySize, Memory: s.memory}
}

// bodyError returns the error of a call whose body could not be read: UpstreamBadAnswer if it
// exceeds a bound, UpstreamCut otherwise.
func bodyError(err error) error {
	if readlimit.Of(err) != nil {
		return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "the response body is too large")
	}
	return granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
}

// send sends a call once and returns the response. The error has code UpstreamRefused if
// the call is invalid or no connection was established, and UpstreamLost otherwise.
func (s *sender) send(ctx context.Context, c granitehoist.Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	client := s.pooled
	if c.Once {
		client = s.singleUse
	}
	base, path, err := splitPath(c)
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "the URL of the call is invalid")
	}
	builder := sling.New().Client(client).Base(base).Path(path)
	if len(c.Body) > 0 {
		builder = builder.Body(nonReplayableBody{bytes.NewReader(c.Body)})
	}
	request, err := builder.Request()
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "can't build the HTTP request")
	}
	request.ContentLength = int64(len(c.Body))
	request.Method = c.Method
	for name, values := range c.Header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderAttempt, string(c.Attempt))
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "no connection to the upstream")
	}
	return nil, granitehoist.Wrap(granitehoist.UpstreamLost, err, "")
}

// open sends a call and returns the response, or an error with code AnswerCrossed if it
// names another attempt. The caller must call end after reading the response.
func (s *sender) open(ctx context.Context, c granitehoist.Call) (response *http.Response, end func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err = s.send(ctx, c)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	end = func() {
		// Canceling closes the connection unless the response was read to its end, so
		// that no later call reads the remaining bytes.
		cancel()
		// The body has been read or is discarded, so an error has no effect.
		_ = response.Body.Close()
	}
	if namesOtherAttempt(response, c.Attempt) {
		end()
		return nil, nil, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
	}
	return response, end, nil
}

// nonReplayableBody hides the concrete type of the body from net/http, which would
// otherwise set Request.GetBody and be able to resend it.
type nonReplayableBody struct{ io.Reader }

// splitPath returns the base URL and the path of a call. It fails if the path doesn't
// begin with a slash.
func splitPath(c granitehoist.Call) (string, string, error) {
	if !strings.HasPrefix(c.Path, "/") {
		return "", "", errors.New("upstream: path does not begin with a slash")
	}
	return strings.TrimRight(c.Address, "/"), c.Path, nil
}

// namesOtherAttempt reports whether the response echoes the id of another attempt.
func namesOtherAttempt(r *http.Response, attempt granitehoist.AttemptID) bool {
	echoed := r.Header.Get(HeaderAttempt)
	return echoed != "" && echoed != string(attempt)
}

// EndToEndHeader returns a copy of h without the fields of one connection or message, as
// exchange.EndToEndHeader removes them, and without the given names.
func EndToEndHeader(h http.Header, without ...string) http.Header {
	header := exchange.EndToEndHeader(h)
	for _, name := range without {
		header.Del(name)
	}
	return header
}
