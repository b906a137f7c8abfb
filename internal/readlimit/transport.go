// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import (
	"io"
	"net/http"
)

// Transport is an http.RoundTripper that bounds the bodies of responses. Both fields are
// required. It is safe for concurrent use if Base is.
type Transport struct {
	Base http.RoundTripper
	// MaxBytes is the maximum size of a body.
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper. Reading a body beyond MaxBytes returns an *Error.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err == nil {
		response.Body = &boundedBody{ReadCloser: response.Body, left: t.MaxBytes, limit: t.MaxBytes}
	}
	return response, err
}

// boundedBody is a body of which left of limit bytes may still be read.
type boundedBody struct {
	io.ReadCloser
	left, limit int64
}

// Read implements io.Reader. It reads up to one byte beyond the limit, since a body may end
// there.
func (b *boundedBody) Read(p []byte) (int, error) {
	p = p[:min(int64(len(p)), b.left+1)]
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		b.left = 0
		return 0, &Error{Part: Body, Bound: Bytes, Read: b.limit}
	}
	return n, err
}
