// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// downTimeout bounds the connection attempt of IsDown. A port without a listener refuses
// within a round trip; an upstream that is silent for longer is cut off or hangs, which
// does not count as down.
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

// keepsTime is how long a new connection has to stay open for its upstream to count as
// running: several round trips between the zones of a site, and the time by which the
// retry of a request whose connection alone was reset is delayed.
const keepsTime = 15 * time.Millisecond

// IsDown reports whether an address refuses connections, or ends a new one at once, which
// tells an upstream that has crashed from one whose connections were reset. Something
// before the upstream, such as a proxy or a supervisor that holds its socket, may go on to
// accept connections; it then has nobody to pass them on to. IsDown opens a connection,
// sends nothing and closes it. It takes up to downTimeout, and returns false if ctx ends
// first.
func (p *Pool) IsDown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, downTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		// A reset may arrive while the connection is being set up: 3 of 200 in one test.
		return errors.Is(err, syscall.ECONNREFUSED) || ConnectionEnded(err)
	}
	defer discard(c)
	return endsAtOnce(c)
}

// endsAtOnce reports whether the other side ends a connection within keepsTime.
func endsAtOnce(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(keepsTime)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return ConnectionEnded(err)
}
