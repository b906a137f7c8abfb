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
	"sync"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/httpvalid"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/internal/sockerror"
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
	// pooled reuses connections. singleUse dials one for each call, for upstreams that are
	// not echoing, and for calls that must not be repeated, since the standard library may
	// resend a request that failed on a reused connection.
	pooled, singleUse *http.Client
	// lookups sends the calls of Engine.Stop and Engine.List.
	lookups *http.Client
	// echoing holds the addresses of the upstreams whose latest response named its attempt.
	// Only their connections are reused: on a reused connection nothing else tells a response
	// from a surplus one to an earlier call.
	echoing sync.Map
	// memory is shared by the bodies that are buffered.
	memory *readlimit.Memory
}

// newSender returns a sender that doesn't follow redirects or request compression.
func newSender() *sender {
	dialer := &net.Dialer{Timeout: connectTimeout}
	newTransport := func(disableKeepAlives bool) *http.Transport {
		return &http.Transport{
			DialContext:            sockerror.Wrap(dialer.DialContext),
			MaxIdleConnsPerHost:    maxIdlePerUpstream,
			IdleConnTimeout:        idleTimeout,
			DisableKeepAlives:      disableKeepAlives,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderSize,
		}
	}
	newClient := func(transport *http.Transport, maxBytes int64) *http.Client {
		return &http.Client{
			Transport:     &readlimit.Transport{Base: &httpvalid.Transport{Base: transport}, MaxBytes: maxBytes},
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

// client returns the client for a call.
func (s *sender) client(c granitehoist.Call) *http.Client {
	if _, echoes := s.echoing.Load(c.Address); c.Once || !echoes {
		return s.singleUse
	}
	return s.pooled
}

// send sends a call once and returns the response, and whether its connection was reused. The
// error has code UpstreamRefused if the call is invalid or no connection was established,
// UpstreamBadAnswer if the head of the response is invalid, and UpstreamLost otherwise.
func (s *sender) send(ctx context.Context, c granitehoist.Call) (response *http.Response, reused bool, err error) {
	request, err := newRequest(c)
	if err != nil {
		return nil, false, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "can't build the HTTP request")
	}
	var connected, old atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		old.Store(info.Reused)
	}}
	response, err = s.client(c).Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	var invalid *httpvalid.Error
	switch {
	case err == nil:
		return response, old.Load(), nil
	case !connected.Load():
		return nil, false, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "no connection to the upstream")
	case errors.As(err, &invalid):
		return nil, false, granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
	}
	return nil, false, granitehoist.Wrap(granitehoist.UpstreamLost, err, "")
}

// newRequest returns the HTTP request of a call.
func newRequest(c granitehoist.Call) (*http.Request, error) {
	base, path, err := splitPath(c)
	if err != nil {
		return nil, err
	}
	builder := sling.New().Base(base).Path(path)
	if len(c.Body) > 0 {
		builder = builder.Body(nonReplayableBody{bytes.NewReader(c.Body)})
	}
	request, err := builder.Request()
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.Body))
	request.Method = c.Method
	for name, values := range c.Header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderAttempt, string(c.Attempt))
	return request, nil
}

// open sends a call and returns the response, or an error with code AnswerCrossed if it
// names another attempt, or none although its connection was used before. The caller must
// call end after reading the response.
func (s *sender) open(ctx context.Context, c granitehoist.Call) (response *http.Response, end func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	response, reused, err := s.send(ctx, c)
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
	echoed := response.Header.Get(HeaderAttempt)
	if echoed != "" {
		s.echoing.Store(c.Address, struct{}{})
	} else {
		s.echoing.Delete(c.Address)
	}
	if echoed != string(c.Attempt) && (echoed != "" || reused) {
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

// EndToEndHeader returns a copy of h without the fields of one connection or message, as
// exchange.EndToEndHeader removes them, and without the given names.
func EndToEndHeader(h http.Header, without ...string) http.Header {
	header := exchange.EndToEndHeader(h)
	for _, name := range without {
		header.Del(name)
	}
	return header
}
