// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

// endedTimeout bounds the call that finds out whether an upstream has ended. A port
// that nobody listens at refuses within a round trip; an upstream that says nothing
// for so long is cut off or hangs, which is no end. Chosen, not measured.
const endedTimeout = 100 * time.Millisecond

// ConnectionEnded reports whether an error of an exchange says that the upstream's
// side ended the connection before the answer was complete. It is false for an
// exchange that this router ended, or that only took too long.
func ConnectionEnded(err error) bool {
	for _, sign := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// Ended reports whether nobody listens at an address any more, which tells an
// upstream that ended from one whose connections broke. It opens a connection and closes
// it. It takes up to endedTimeout, and returns false if ctx ends before.
func (p *Pool) Ended(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	discard(c)
	return false
}
