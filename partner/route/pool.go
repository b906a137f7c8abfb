// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pushback"
)

// servicePool holds the upstreams of one service and its queue. It is guarded by the
// lock of its Table.
type servicePool struct {
	targets []Target
	members []*member
	// ring holds the hash points of the members in ascending order.
	ring []point
	// inFlight is the number of requests in flight at all members.
	inFlight int
	waiters  queue
	// successor is the pool that replaced this one; nil for the current pool.
	successor *servicePool
}

// current returns the service's latest pool.
func (p *servicePool) current() *servicePool {
	for p.successor != nil {
		p = p.successor
	}
	return p
}

// contains reports whether m is a member of the pool.
func (p *servicePool) contains(m *member) bool { return slices.Contains(p.members, m) }

// member is the state of one upstream. It is shared by successive pools, so that a
// change of configuration keeps its requests in flight and its failures.
type member struct {
	Target
	inFlight int
	// failures is the number of consecutive failures.
	failures int
	// ejectedUntil is when the ejection ends.
	ejectedUntil time.Time
	// backoff is the backoff that the upstream requested from this router.
	backoff pushback.Backoff
	// draining members get no new requests.
	draining bool
}

// available reports whether a member may take one more request now. The number of
// its requests in flight must be below both limit and Concurrency.
func (m *member) available(limit int, tried map[granitehoist.Upstream]bool, now time.Time) bool {
	return !m.draining && m.backoff.Allows(now) && m.inFlight < min(m.Concurrency, limit) && !now.Before(m.ejectedUntil) && !tried[m.Name]
}

// choose returns the member for a request, or nil if none is available. A request with
// an affinity gets the first available member on the ring with fewer than loadLimit
// requests in flight. A request without an affinity, or for which firstOnRing finds no
// member, gets a member from leastLoaded or, failing that, from scan.
func (p *servicePool) choose(req Request, random *rand.Rand, now time.Time) *member {
	if len(p.members) == 0 {
		return nil
	}
	if req.Affinity != 0 {
		if m := p.firstOnRing(req, loadLimit(p.inFlight, len(p.members)), now); m != nil {
			return m
		}
	}
	if m := p.leastLoaded(req, random, now); m != nil {
		return m
	}
	return p.scan(req, now)
}

// firstOnRing returns the first available member on the ring, beginning at the first point
// whose hash is at least the request's affinity. It returns nil if none of maxRingPoints
// points has an available member.
func (p *servicePool) firstOnRing(req Request, limit int, now time.Time) *member {
	start := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= req.Affinity })
	for step := range min(maxRingPoints, len(p.ring)) {
		m := p.members[p.ring[(start+step)%len(p.ring)].member]
		if m.available(limit, req.Tried, now) {
			return m
		}
	}
	return nil
}

// maxFullScan is the largest pool in which leastLoaded examines every member.
const maxFullScan = 16

// leastLoaded returns the available member with the fewest requests in flight: among all
// members of a pool of up to maxFullScan, among two random members of a larger pool (M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 1996). It returns
// nil if none of these is available.
func (p *servicePool) leastLoaded(req Request, random *rand.Rand, now time.Time) *member {
	if len(p.members) <= maxFullScan {
		return p.scan(req, now)
	}
	a, b := p.members[random.IntN(len(p.members))], p.members[random.IntN(len(p.members))]
	if b.inFlight < a.inFlight {
		a, b = b, a
	}
	for _, m := range []*member{a, b} {
		if m.available(m.Concurrency, req.Tried, now) {
			return m
		}
	}
	return nil
}

// scan returns the available member with the fewest requests in flight, or nil if no member
// is available.
func (p *servicePool) scan(req Request, now time.Time) *member {
	var best *member
	for _, m := range p.members {
		if m.available(m.Concurrency, req.Tried, now) && (best == nil || m.inFlight < best.inFlight) {
			best = m
		}
	}
	return best
}

// earliestReadmission returns the candidate whose ejection ends first. The candidates are
// the members that are not draining, not backing off and not in req.Tried. It returns nil if
// there is no candidate, or if one is not ejected. untried reports whether any member is
// neither draining nor in req.Tried.
func (p *servicePool) earliestReadmission(req Request, now time.Time) (first *member, untried bool) {
	for _, m := range p.members {
		if m.draining || req.Tried[m.Name] {
			continue
		}
		if !m.backoff.Allows(now) {
			untried = true
			continue
		}
		if !now.Before(m.ejectedUntil) {
			return nil, true
		}
		if first == nil || m.ejectedUntil.Before(first.ejectedUntil) {
			first = m
		}
	}
	return first, untried || first != nil
}

// shortestBackoff considers the members that are not draining and not in req.Tried. If there
// are any and all are backing off, it returns the time until the first backoff ends, and
// true. Otherwise it returns zero and false.
func (p *servicePool) shortestBackoff(req Request, now time.Time) (remaining time.Duration, all bool) {
	for _, m := range p.members {
		if m.draining || req.Tried[m.Name] {
			continue
		}
		wait := m.backoff.Remaining(now)
		if wait == 0 {
			return 0, false
		}
		if !all || wait < remaining {
			remaining, all = wait, true
		}
	}
	return remaining, all
}
