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

// downTimeout bounds the connection attempt of IsDown. A port without a listener refuses
// within a round trip; an upstream that is silent for longer is cut off or hangs, which
// does not count as down. Chosen, not measured.
const downTimeout = 100 * time.Millisecond

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

// IsDown reports whether an address refuses connections, which tells an upstream that has
// crashed from one whose connections were reset. It opens a connection and closes it. It
// takes up to downTimeout, and returns false if ctx ends first.
func (p *Pool) IsDown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, downTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	discard(c)
	return false
}
