// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection (RFC 9110, 7.6.1) or to the framing of one
// message, which the next connection's own replaces.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// PassedOn returns a copy of a header without the fields that belong to one
// connection, those that its Connection field names among them.
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
