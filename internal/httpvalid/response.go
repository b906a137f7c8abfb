// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package httpvalid

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Error reports what is invalid in a response.
type Error struct{ text string }

// Error implements error.
func (e *Error) Error() string { return "httpvalid: " + e.text }

const (
	// minStatus and maxStatus are the least and the greatest valid status.
	minStatus, maxStatus = 100, 599
	// majorVersion is the only major version of the protocol that the routers speak.
	majorVersion = 1
)

// Response returns an *Error if the version, the status or a field name of a response is
// invalid, or if it switches protocols, which no router asks for. Otherwise it replaces the body
// by one whose Read returns an *Error in place of io.EOF if the trailer is invalid.
func Response(r *http.Response) error {
	switch {
	case r.ProtoMajor != majorVersion:
		return &Error{text: fmt.Sprintf("version %q", r.Proto)}
	case r.StatusCode < minStatus || r.StatusCode > maxStatus:
		return &Error{text: fmt.Sprintf("status %q", r.Status)}
	case r.StatusCode == http.StatusSwitchingProtocols:
		return &Error{text: "the protocol is switched without a request for it"}
	}
	if err := fields(r.Header); err != nil {
		return err
	}
	r.Body = &trailedBody{ReadCloser: r.Body, response: r}
	return nil
}

// trailedBody is the body of a response whose trailer is checked at its end.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := fields(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// fields returns an *Error if a field name of a header or trailer is invalid.
func fields(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return &Error{text: fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenChar(s[i]) {
			return false
		}
	}
	return s != ""
}

// isTokenChar reports whether a token may hold c.
func isTokenChar(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
