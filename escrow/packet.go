// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// packetCover is the time of its spending that a router with many requests of a
	// workspace asks a holder for at once: long enough to be asked for again before it is
	// used up, and short beside what the holder keeps.
	packetCover = 2 * time.Second
	// packetRequests is the number of requests of the mean size that a packet has at
	// least. A router that expects fewer in packetCover asks for each of them, since
	// packets at hundreds of routers would be most of a budget.
	packetRequests = 4
	// refillPacketBelow is the part of a packet under which the next one is asked for.
	refillPacketBelow = 0.5
)

// packetOf decides how many tokens a router that asks holders keeps ahead of its
// requests: those of packetCover at its rate in tokens a second if that is enough
// for packetRequests of the mean bound, else none. So a workspace whose callers
// all come to one router costs its link a call a second and not one for each
// request, and does not wait for a holder while that link is full.
func packetOf(perSecond, mean float64) granitehoist.Tokens {
	packet := perSecond * packetCover.Seconds()
	if packet < packetRequests*mean {
		return 0
	}
	return granitehoist.Tokens(packet)
}

// packet returns what this router keeps ahead of its requests where it asks holders.
func (a *account) packet(now time.Time) granitehoist.Tokens {
	return packetOf(a.demand.rate.value(now), a.demand.mean)
}

// startRefill reports whether a packet is to be asked for before requests need it,
// and which. The caller calls endRefill after the call: one packet is asked for at a
// time, since each of many requests that wait would otherwise bring one.
func (l *Ledger) startRefill(w granitehoist.Workspace, now time.Time) (shortage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	packet := a.packet(now)
	free := a.owned.free()
	if packet == 0 || a.refilling || float64(free) >= refillPacketBelow*float64(packet) || l.role(w, a, now) != Asks {
		return shortage{}, false
	}
	a.refilling = true
	return shortage{workspace: w, need: 1, want: packet - max(0, free)}, true
}

func (l *Ledger) endRefill(w granitehoist.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(w).refilling = false
}
