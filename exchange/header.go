// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the fields that apply to one connection (RFC 9110, section 7.6.1) or
// to the framing of one message.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// EndToEndHeader returns a copy of a header without the hop-by-hop fields and without the
// fields that its Connection field lists.
func EndToEndHeader(h http.Header) http.Header {
	passed := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passed.Del(name)
	}
	return passed
}
