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
)

// HeaderAttempt carries the attempt id to an upstream and back.
const HeaderAttempt = "X-Request-Id"

const (
	// connectTimeout bounds the making of a connection within a region.
	connectTimeout = time.Second
	// lookupTimeout bounds a call of Stop or List, which only looks up attempts.
	lookupTimeout = time.Second
	// maxAnswer bounds the size of a whole answer in bytes, and so what one request keeps
	// in memory.
	maxAnswer = 32 << 20
	// idlePerUpstream is twice config.DefaultConcurrency, so that a burst finds its
	// connections made.
	idlePerUpstream = 64
	// idleTimeout is how long a connection is kept without a call.
	idleTimeout = time.Minute
)

// sender makes HTTP calls and tells whether a byte may have left the box. It is
// safe for concurrent use.
type sender struct {
	// reusing reuses connections; fresh makes one for each call, since the
	// standard library may send a call again on a reused connection.
	reusing, fresh *http.Client
}

// newSender returns a sender that follows no redirect and asks for no encoding.
func newSender() *sender {
	dialer := &net.Dialer{Timeout: connectTimeout}
	client := func(alone bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: idlePerUpstream,
				IdleConnTimeout:     idleTimeout,
				DisableKeepAlives:   alone,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &sender{reusing: client(false), fresh: client(true)}
}

// send sends a call once and returns the upstream's response. Its errors have
// code UpstreamRefused if no byte can have left the box, and UpstreamLost
// otherwise.
func (s *sender) send(ctx context.Context, c granitehoist.Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	client := s.reusing
	if c.Once {
		client = s.fresh
	}
	base, path, err := splitPath(c)
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "the address is wrong")
	}
	builder := sling.New().Client(client).Base(base).Path(path)
	if len(c.Body) > 0 {
		builder = builder.Body(unrepeatable{bytes.NewReader(c.Body)})
	}
	request, err := builder.Request()
	if err != nil {
		return nil, granitehoist.Wrap(granitehoist.UpstreamRefused, err, "the request can't be made")
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

// open sends a call and returns the response unless it names another attempt. The
// caller must call end once it has read the response.
func (s *sender) open(ctx context.Context, c granitehoist.Call) (response *http.Response, end func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err = s.send(ctx, c)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	end = func() {
		// If the answer was not read to its end this closes the connection, so that
		// no later call reads the remaining bytes.
		cancel()
		// The body is thrown away; its error can't matter.
		_ = response.Body.Close()
	}
	if crossed(response, c.Attempt) {
		end()
		return nil, nil, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
	}
	return response, end, nil
}

// unrepeatable hides the type of the body, so that the standard library can't
// take it as one that may be sent again.
type unrepeatable struct{ io.Reader }

// splitPath returns the base and the path of a call's URL.
func splitPath(c granitehoist.Call) (string, string, error) {
	if !strings.HasPrefix(c.Path, "/") {
		return "", "", errors.New("upstream: path does not begin with a slash")
	}
	return strings.TrimRight(c.Address, "/"), c.Path, nil
}

// crossed reports whether a response names another attempt.
func crossed(r *http.Response, attempt granitehoist.AttemptID) bool {
	echoed := r.Header.Get(HeaderAttempt)
	return echoed != "" && echoed != string(attempt)
}

// CopyHeader returns a header without what belongs to one connection and
// without the given names.
func CopyHeader(h http.Header, without ...string) http.Header {
	header := exchange.PassedOn(h)
	for _, name := range without {
		header.Del(name)
	}
	return header
}
