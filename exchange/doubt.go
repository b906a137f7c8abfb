// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

// outcome is what is known of an exchange and its connection at its end.
type outcome struct {
	// complete says that the answer's body was read to its end.
	complete bool
	// cancelled says that the context ended, which closes the connection.
	cancelled bool
	// written says that the request was written to its end (writing.complete).
	written bool
	// framed says that the answer states where it ends.
	framed bool
	// closing says that the upstream announced to close the connection.
	closing bool
	// surplus is the number of bytes read after the answer.
	surplus int
}

// doubt is why a connection must not serve another request.
type doubt string

// The doubts.
const (
	noDoubt           doubt = ""
	answerIncomplete  doubt = "the answer was not read to its end"
	exchangeCancelled doubt = "the exchange was cancelled"
	requestUnwritten  doubt = "the request was not written to its end"
	answerUnframed    doubt = "the answer ends with the connection"
	upstreamClosing   doubt = "the upstream closes the connection"
	surplusBytes      doubt = "bytes follow the answer"
)

// doubt decides whether the connection may serve another request, and returns
// why not. No byte of this exchange may be outstanding in either direction: an
// upstream that answered before it had read the complete request may take the next
// request for the remainder of this one, and unread bytes after an answer would be
// read as the answer to the next request.
func (o outcome) doubt() doubt {
	switch {
	case !o.complete:
		return answerIncomplete
	case o.cancelled:
		return exchangeCancelled
	case !o.written:
		return requestUnwritten
	case !o.framed:
		return answerUnframed
	case o.closing:
		return upstreamClosing
	case o.surplus > 0:
		return surplusBytes
	}
	return noDoubt
}
