// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

// outcome is the state of an exchange and its connection when the exchange ends. The zero
// value must not lead to reuse of the connection.
type outcome struct {
	// complete is set if the response body was read to its end.
	complete bool
	// cancelled is set if the context ended, which closes the connection.
	cancelled bool
	// written is set if the whole request was written (writeProgress.complete).
	written bool
	// framed is set if the response has a Content-Length or is chunked.
	framed bool
	// closing is set if the upstream announced that it closes the connection.
	closing bool
	// unread is the number of buffered bytes after the response.
	unread int
}

// closeReason is why a connection is closed instead of reused.
type closeReason string

// The reasons.
const (
	noReason           closeReason = ""
	responseIncomplete closeReason = "the answer was not read to its end"
	exchangeCancelled  closeReason = "the exchange was cancelled"
	requestIncomplete  closeReason = "the request was not written to its end"
	responseUnframed   closeReason = "the answer ends with the connection"
	upstreamClosing    closeReason = "the upstream closes the connection"
	unreadBytes        closeReason = "bytes follow the answer"
)

// closeReason returns why the connection must not be reused, and noReason if it may be. A
// connection with outstanding bytes in either direction is not reused: the upstream could
// take the next request for the remainder of this one, and unread bytes would be read as
// the response to the next request.
func (o outcome) closeReason() closeReason {
	switch {
	case !o.complete:
		return responseIncomplete
	case o.cancelled:
		return exchangeCancelled
	case !o.written:
		return requestIncomplete
	case !o.framed:
		return responseUnframed
	case o.closing:
		return upstreamClosing
	case o.unread > 0:
		return unreadBytes
	}
	return noReason
}
