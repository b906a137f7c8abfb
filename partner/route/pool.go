// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// servicePool is the upstreams of one service, prepared for choosing. It holds what
// this router knows of each: its requests in progress and its failures. A Pool
// is used by one Table only.
type servicePool struct {
	service granitehoist.Service
	targets []Target
	members []*member
	// ring holds the points of the members, by their hashes.
	ring     []point
	inFlight int
	waiters  queue
	// next is the pool that took this one's place.
	next *servicePool
}

// current returns the pool that stands in a pool's place now.
func (p *servicePool) current() *servicePool {
	for p.next != nil {
		p = p.next
	}
	return p
}

// member is one upstream. It outlives pools, so that what is known of it is
// kept when the documents change.
type member struct {
	Target
	inFlight     int
	failures     int
	ejectedUntil time.Time
	// leaving members get no new work at all.
	leaving bool
}

// point is a place of a member on the ring.
type point struct {
	hash   uint64
	member int32
}

// pointsPerMember spreads the members over the ring: with 32 points the largest
// part is less than twice the mean, and the load bound does the rest.
const pointsPerMember = 32

// newRing returns the points of members, by hash.
func newRing(members []*member) []point {
	ring := make([]point, 0, len(members)*pointsPerMember)
	for i, m := range members {
		for n := range pointsPerMember {
			hash := xxhash.Sum64String(string(m.Name) + "#" + strconv.Itoa(n))
			ring = append(ring, point{hash, int32(i)})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	return ring
}

// loadLimit returns the load bound: the average with one more request, and slack.
func (p *servicePool) loadLimit(slack float64) int {
	average := float64(p.inFlight+1) / float64(len(p.members))
	return int(average*(1+slack)) + 1
}

// hasRoom reports whether a member may take one more request now.
func (m *member) hasRoom(limit int, tried map[granitehoist.Upstream]bool, now time.Time) bool {
	return !m.leaving && m.inFlight < min(m.Concurrency, limit) && !now.Before(m.ejectedUntil) && !tried[m.Name]
}

// ringSteps bounds the points that are looked at for one request. Among so many
// points a member with room is all but certain while the pool as a whole has
// any to speak of.
const ringSteps = 64

// byRing returns the first member with room, from the place of an affinity on.
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
func (p *servicePool) lightest(w Want, random func(int) int, now time.Time) *member {
	if len(p.members) <= smallPool {
		return p.scan(w, now)
	}
	a, b := p.members[random(len(p.members))], p.members[random(len(p.members))]
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

// firstReturning returns the untried member that returns first, if every untried
// member is left out, and whether there is an untried member at all.
func (p *servicePool) firstReturning(w Want, now time.Time) (first *member, untried bool) {
	for _, m := range p.members {
		if m.leaving || w.Tried[m.Name] {
			continue
		}
		if !now.Before(m.ejectedUntil) {
			return nil, true
		}
		if first == nil || m.ejectedUntil.Before(first.ejectedUntil) {
			first = m
		}
	}
	return first, first != nil
}
