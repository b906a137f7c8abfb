// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/jsonrpc2"

	"granitehoist.example/granitehoist"
)

const (
	// silentAfter is how long calls to a router fail before it counts as silent.
	silentAfter = 1500 * time.Millisecond
	// silentRetryDelay is the time between two calls to a router that does not answer.
	silentRetryDelay = 400 * time.Millisecond
	// hubCount is the number of routers that each router reports to.
	hubCount = 3
	// maxPassedOver is the number of passive routers that are passed over for the next ones
	// in rank, so that an outage of the store does not make every router a hub.
	maxPassedOver = 3
)

// Member is a router of the fleet.
type Member struct {
	Box  granitehoist.Box
	Peer granitehoist.Peer
}

// rank orders the routers by a rendezvous hash of a service and their boxes.
func rank(service granitehoist.Service, members []Member) []Member {
	score := func(m Member) uint64 { return xxhash.Sum64String(string(service) + "\x00" + string(m.Box)) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.Box, b.Box))
	})
	return ranked
}

// contacts records which routers answer calls. The zero value works. It is safe for
// concurrent use.
type contacts struct {
	mu sync.Mutex
	// calls holds what is known of each router by its address.
	calls map[string]contact
	// unansweredSince is the time of the first failure of any call after the last answer or
	// call of any router.
	unansweredSince time.Time
}

// contact is what is known of calls to one router.
type contact struct {
	calling bool
	// lastCall is the time of the last call, failingSince that of the first failure after
	// the last answer.
	lastCall, failingSince time.Time
	// gone says that the address refused the last call's connection, old that the router
	// does not serve the method.
	gone, old bool
}

// begin reports whether a router may be called at now, and notes the call: unless a call is
// in progress, and after failures only every silentRetryDelay.
func (c *contacts) begin(m Member, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.calls[m.Peer.Address]
	if known.calling || (!known.failingSince.IsZero() && now.Sub(known.lastCall) < silentRetryDelay) {
		return false
	}
	known.calling, known.lastCall = true, now
	if c.calls == nil {
		c.calls = map[string]contact{}
	}
	c.calls[m.Peer.Address] = known
	return true
}

// end records the outcome of a call.
func (c *contacts) end(m Member, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.calls[m.Peer.Address]
	known.calling = false
	var callError *jsonrpc2.Error
	known.gone = errors.Is(err, syscall.ECONNREFUSED)
	known.old = errors.As(err, &callError) && callError.Code == jsonrpc2.CodeMethodNotFound
	switch {
	case err == nil:
		known.failingSince, c.unansweredSince = time.Time{}, time.Time{}
	case known.failingSince.IsZero():
		known.failingSince = now
	}
	if err != nil && c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
	c.calls[m.Peer.Address] = known
}

// of returns what is known of a router.
func (c *contacts) of(m Member) contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[m.Peer.Address]
}

// isGone reports whether a router's address refuses connections.
func (c *contacts) isGone(m Member) bool { return c.of(m).gone }

// isSilent reports whether a router does not answer calls.
func (c *contacts) isSilent(m Member, now time.Time) bool {
	known := c.of(m)
	failing := !known.failingSince.IsZero()
	return failing && (known.gone || known.old || now.Sub(known.failingSince) >= silentAfter)
}

// leader returns the first router in rank that is neither known to be silent nor passive, for
// which up to maxPassedOver passive routers are passed over. If there is none it is the first
// that is not known to be silent; self if all others before it are.
func (c *contacts) leader(ranked []Member, self granitehoist.Box, passive map[granitehoist.Box]bool, now time.Time) granitehoist.Box {
	var first granitehoist.Box
	passedOver := 0
	for _, m := range ranked {
		if m.Box != self && c.isSilent(m, now) {
			continue
		}
		if !passive[m.Box] {
			return m.Box
		}
		if first == "" {
			first = m.Box
		}
		if passedOver++; passedOver > maxPassedOver {
			break
		}
	}
	return cmp.Or(first, self)
}

// hubs returns the routers to report to, without self: the first hubCount in rank that answer
// and are not passive, and those before them, which may answer or lead again. No more than
// maxPassedOver passive routers are passed over.
func (c *contacts) hubs(ranked []Member, self granitehoist.Box, passive map[granitehoist.Box]bool) []Member {
	var chosen []Member
	answering, passedOver := 0, 0
	for _, m := range ranked {
		if answering == hubCount {
			break
		}
		if m.Box != self {
			chosen = append(chosen, m)
		}
		switch {
		case m.Box != self && !c.of(m).failingSince.IsZero():
		case passive[m.Box] && passedOver < maxPassedOver:
			passedOver++
		default:
			answering++
		}
	}
	return chosen
}

// heard notes a call of another router.
func (c *contacts) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince = time.Time{}
}

// isAlone reports whether this router has neither had an answer from another one nor been
// called for silentAfter.
func (c *contacts) isAlone(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) >= silentAfter
}
