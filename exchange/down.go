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

	"granitehoist.example/granitehoist"
)

// downTimeout bounds the connection attempt of IsDown. A port without a listener refuses
// within one round trip; an upstream that does not respond within this time is partitioned
// or hangs, which does not count as down.
const downTimeout = 100 * time.Millisecond

// ClosedByPeer reports whether an error of an exchange means that the peer closed or
// reset the connection before the response was complete. It returns false for exchanges
// that this router cancelled or that timed out.
func ClosedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// minOpenTime is how long a new connection must stay open for its upstream to count as
// running. It covers several round trips between availability zones. A longer time would
// delay the retry of a request whose connection was reset.
const minOpenTime = 15 * time.Millisecond

// suspectOpenTime replaces minOpenTime before a suspect request is sent. A proxy on a busy
// machine may take longer than minOpenTime to close the connection of a crashed upstream,
// and the request would then be held responsible for that crash. Suspect requests are few
// and are held for longer than this anyway.
const suspectOpenTime = 60 * time.Millisecond

// IsDown reports whether an upstream's address refuses connections or closes a new one
// within minOpenTime. It distinguishes a crashed upstream from a running one that reset a
// connection. A proxy or a supervisor that holds the socket may still accept connections
// for a crashed upstream, but closes them.
//
// A partition of this router may look the same. What it sees is therefore confirmed through
// the Detour, unless there is none: the upstream is down only if it is for another router
// too.
//
// IsDown opens connections, sends nothing and closes them. It takes up to downTimeout for
// each, and returns false if ctx ends first.
func (p *Pool) IsDown(ctx context.Context, upstream granitehoist.Upstream, address string) bool {
	return p.isDown(ctx, upstream, address, minOpenTime)
}

// IsDownBeforeSuspect is IsDown with suspectOpenTime in place of minOpenTime, for the check
// before a suspect request is sent.
func (p *Pool) IsDownBeforeSuspect(ctx context.Context, upstream granitehoist.Upstream, address string) bool {
	return p.isDown(ctx, upstream, address, suspectOpenTime)
}

// isDown is IsDown with a given time for which a new connection must stay open.
func (p *Pool) isDown(ctx context.Context, upstream granitehoist.Upstream, address string, openTime time.Duration) bool {
	direct := func(ctx context.Context) (net.Conn, error) { return p.DialDirect(ctx, upstream, address) }
	if down, _ := closesWithin(ctx, direct, openTime); !down {
		return false
	}
	detour := func(ctx context.Context) (net.Conn, error) { return p.dialDetour(ctx, upstream) }
	down, err := closesWithin(ctx, detour, openTime)
	return down || errors.Is(err, ErrNoDetour)
}

// closesWithin reports whether a dial is refused or its connection is closed within
// openTime. It also returns the error of the dial.
func closesWithin(ctx context.Context, dial func(context.Context) (net.Conn, error), openTime time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, downTimeout)
	defer cancel()
	c, err := dial(ctx)
	if err != nil {
		// A reset may arrive while the connection is being established.
		return errors.Is(err, syscall.ECONNREFUSED) || ClosedByPeer(err), err
	}
	defer discard(c)
	return closesImmediately(c, openTime), nil
}

// closesImmediately reports whether the peer closes the connection within openTime.
func closesImmediately(c net.Conn, openTime time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(openTime)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return ClosedByPeer(err)
}
