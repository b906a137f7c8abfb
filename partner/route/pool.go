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

// servicePool is the upstreams of one service, prepared for choosing. It belongs
// to one Table, whose lock guards it.
type servicePool struct {
	targets []Target
	members []*member
	// ring holds the points of the members, by their hashes.
	ring []point
	// inFlight is the requests in progress at all members together.
	inFlight int
	waiters  queue
	// next is the pool that replaced this one; nil for the current pool.
	next *servicePool
}

// current returns the newest pool of the same service.
func (p *servicePool) current() *servicePool {
	for p.next != nil {
		p = p.next
	}
	return p
}

// has reports whether a member is one of the pool's.
func (p *servicePool) has(m *member) bool { return slices.Contains(p.members, m) }

// member is one upstream. It outlives pools, so that its requests in progress
// and its failures are kept when the documents change.
type member struct {
	Target
	inFlight int
	// failures counts those in a row.
	failures int
	// ejectedUntil is when it may be chosen again.
	ejectedUntil time.Time
	// rest is what it has asked this router for.
	rest pushback.Rest
	// leaving members get no new requests at all.
	leaving bool
}

// hasRoom reports whether a member may take one more request now. limit bounds
// its requests in progress beside its own Concurrency.
func (m *member) hasRoom(limit int, tried map[granitehoist.Upstream]bool, now time.Time) bool {
	return !m.leaving && m.rest.Admits(now) && m.inFlight < min(m.Concurrency, limit) && !now.Before(m.ejectedUntil) && !tried[m.Name]
}

// choose decides which upstream takes a request: the one on the ring that
// requests of the same affinity share, within the load bound, or else the
// lightest. It returns nil if none has room.
func (p *servicePool) choose(w Want, random *rand.Rand, now time.Time) *member {
	if len(p.members) == 0 {
		return nil
	}
	if w.Affinity != 0 {
		if m := p.byRing(w, loadLimit(p.inFlight, len(p.members)), now); m != nil {
			return m
		}
	}
	if m := p.lightest(w, random, now); m != nil {
		return m
	}
	return p.scan(w, now)
}

// byRing returns the first member with room, beginning at the point of an
// affinity.
func (p *servicePool) byRing(w Want, limit int, now time.Time) *member {
	start := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= w.Affinity })
	for step := range min(ringSteps, len(p.ring)) {
		m := p.members[p.ring[(start+step)%len(p.ring)].member]
		if m.hasRoom(limit, w.Tried, now) {
			return m
		}
	}
	return nil
}

// smallPool is the number of members up to which all are looked at.
const smallPool = 16

// lightest returns the member with room and the fewest requests: of all in a
// small pool, of two random ones in a large one (M. Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", 1996).
func (p *servicePool) lightest(w Want, random *rand.Rand, now time.Time) *member {
	if len(p.members) <= smallPool {
		return p.scan(w, now)
	}
	a, b := p.members[random.IntN(len(p.members))], p.members[random.IntN(len(p.members))]
	if b.inFlight < a.inFlight {
		a, b = b, a
	}
	for _, m := range []*member{a, b} {
		if m.hasRoom(m.Concurrency, w.Tried, now) {
			return m
		}
	}
	return nil
}

// scan returns the member with room and the fewest requests among all.
func (p *servicePool) scan(w Want, now time.Time) *member {
	var best *member
	for _, m := range p.members {
		if m.hasRoom(m.Concurrency, w.Tried, now) && (best == nil || m.inFlight < best.inFlight) {
			best = m
		}
	}
	return best
}

// firstReturning returns the untried member that returns first, if every
// untried member is left out for failures or rests, and whether there is an untried member at all.
func (p *servicePool) firstReturning(w Want, now time.Time) (first *member, untried bool) {
	for _, m := range p.members {
		if m.leaving || w.Tried[m.Name] {
			continue
		}
		if !m.rest.Admits(now) {
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

// restsUntil returns the time until the first rest ends, if every member that may be chosen
// rests, and false otherwise.
func (p *servicePool) restsUntil(w Want, now time.Time) (left time.Duration, all bool) {
	for _, m := range p.members {
		if m.leaving || w.Tried[m.Name] {
			continue
		}
		rest := m.rest.Left(now)
		if rest == 0 {
			return 0, false
		}
		if !all || rest < left {
			left, all = rest, true
		}
	}
	return left, all
}
