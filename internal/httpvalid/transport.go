// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package httpvalid

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.RoundTripper that rejects invalid responses. Base is required. It is
// safe for concurrent use if Base is.
type Transport struct{ Base http.RoundTripper }

// maxInterimResponses bounds the interim responses before a final one. net/http leaves the bound
// to a caller that looks at them.
const maxInterimResponses = 5

// RoundTrip implements http.RoundTripper. If Response rejects the response, if a field name of an
// interim one is invalid or if these are too many, the error is an *Error and the connection is
// closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var connection atomic.Pointer[net.Conn]
	interim := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if interim++; interim > maxInterimResponses {
				return &Error{text: "too many interim responses"}
			}
			return fields(http.Header(h))
		},
	}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Response(response); err != nil {
		// Nothing more is read, so that an error of Close has no effect.
		_ = response.Body.Close()
		if c := connection.Load(); c != nil {
			// Without a body the connection would be used again. An error has no effect either.
			_ = (*c).Close()
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base, if it has such a method. It makes
// http.Client.CloseIdleConnections work.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
