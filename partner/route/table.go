// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Target is an upstream that can be chosen.
type Target struct {
	Name granitehoist.Upstream
	// Concurrency is the most requests in flight from this router.
	Concurrency int
}

// Table tracks the requests in flight and the failures of each upstream, as seen by
// this router, and chooses upstreams for requests. It is safe for concurrent use.
type Table struct {
	settings Settings

	// mu guards the fields below and everything reachable from them.
	mu      sync.Mutex
	random  *rand.Rand
	members map[granitehoist.Upstream]*member
	pools   map[granitehoist.Service]*servicePool
}

// Settings configures a Table. The zero value is ready to use.
type Settings struct {
	// QueueLimit bounds the queued requests of each service; zero means
	// defaultQueueLimit.
	QueueLimit int
	// Seed seeds the random choice between upstreams.
	Seed uint64
}

// defaultQueueLimit is the default maximum of queued requests of one service.
const defaultQueueLimit = 1000

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	defaults.Set(&s.QueueLimit, defaultQueueLimit)
	return &Table{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
		members:  map[granitehoist.Upstream]*member{},
		pools:    map[granitehoist.Service]*servicePool{},
	}
}

// Request describes the upstream that an attempt needs.
type Request struct {
	Service granitehoist.Service
	// Targets are the service's upstreams. The slice must not be modified
	// afterwards; Acquire detects a new configuration by a different slice.
	Targets []Target
	// Affinity is a hash; requests with the same hash prefer the same upstream. Zero
	// means no affinity.
	Affinity uint64
	Priority granitehoist.Priority
	// Tried holds the upstreams that earlier attempts used; they are excluded.
	Tried map[granitehoist.Upstream]bool
}

// PrefixAffinity returns the affinity of requests with the given prompt prefix.
func PrefixAffinity(prefix []byte) uint64 { return xxhash.Sum64(prefix) }

// Acquire chooses an upstream, or waits for an available one until ctx is done. Its
// errors are of type *granitehoist.Error. Their code is NoUpstream if the service has
// no eligible upstream. It is Overloaded if none became available in time, if the queue
// is full, or if all upstreams are backing off; in the last case RetryAfter is the time
// until the first backoff ends.
func (t *Table) Acquire(ctx context.Context, req Request, now time.Time) (*Slot, error) {
	t.mu.Lock()
	pool := t.currentPool(req)
	slot, eligible := t.assign(pool, req, now)
	if slot != nil {
		t.mu.Unlock()
		return slot, nil
	}
	if err := t.checkWait(pool, req, eligible, now); err != nil {
		t.mu.Unlock()
		return nil, err
	}
	queued := pool.waiters.add(req)
	t.mu.Unlock()
	select {
	case slot := <-queued.granted:
		return slot, nil
	case <-ctx.Done():
		return t.cancelWait(pool, queued)
	}
}

// checkWait returns nil if a request without an available upstream may be queued, and
// otherwise the reason for its refusal. eligible is as returned by assign. The caller holds mu.
func (t *Table) checkWait(pool *servicePool, req Request, eligible bool, now time.Time) error {
	if !eligible {
		return granitehoist.Errorf(granitehoist.NoUpstream, "service %s", req.Service)
	}
	if remaining, all := pool.shortestBackoff(req, now); all {
		overloaded := granitehoist.Errorf(granitehoist.Overloaded, "all upstreams of service %s are backing off", req.Service)
		overloaded.RetryAfter = remaining
		return overloaded
	}
	if len(pool.waiters) >= t.settings.QueueLimit {
		return granitehoist.Errorf(granitehoist.Overloaded, "")
	}
	return nil
}

// currentPool returns the service's pool and replaces it if the targets changed. The
// new pool takes over the members' state and the queued requests. The caller holds mu.
func (t *Table) currentPool(req Request) *servicePool {
	p, exists := t.pools[req.Service]
	if exists && sameSlice(p.targets, req.Targets) {
		return p
	}
	if exists && slices.Equal(p.targets, req.Targets) {
		p.targets = req.Targets
		return p
	}
	next := t.buildPool(req.Targets)
	if exists {
		next.waiters = p.waiters
		p.waiters = nil
		p.successor = next
	}
	t.pools[req.Service] = next
	return next
}

// buildPool returns a pool of the targets. Upstreams that are already known keep their
// requests in flight and their failures.
func (t *Table) buildPool(targets []Target) *servicePool {
	p := &servicePool{targets: targets}
	for _, target := range targets {
		m, exists := t.members[target.Name]
		if !exists {
			m = &member{}
			t.members[target.Name] = m
		}
		m.Target = target
		p.members = append(p.members, m)
		p.inFlight += m.inFlight
	}
	p.ring = newRing(p.members)
	return p
}

// sameSlice reports whether a and b share length and first element.
func sameSlice(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// assign chooses an available upstream and reserves a slot at it. If there is none, it uses
// the upstream that earliestReadmission returns, if that has capacity. eligible is false if
// all upstreams are draining or were tried. The caller holds mu.
func (t *Table) assign(p *servicePool, req Request, now time.Time) (slot *Slot, eligible bool) {
	if m := p.choose(req, t.random, now); m != nil {
		return t.reserve(p, m, now), true
	}
	first, untried := p.earliestReadmission(req, now)
	if first != nil && first.inFlight < first.Concurrency {
		return t.reserve(p, first, now), true
	}
	return nil, untried
}

// reserve counts a request at a member and returns its slot. The caller holds mu.
func (t *Table) reserve(p *servicePool, m *member, now time.Time) *Slot {
	m.inFlight++
	p.inFlight++
	slot := &Slot{Upstream: m.Name, table: t, pool: p, member: m, acquiredAt: now, probe: !m.backoff.Inactive()}
	if slot.probe {
		m.backoff.StartProbe()
	}
	return slot
}

// SetDraining replaces the set of draining upstreams. They get no new requests;
// requests in flight continue.
func (t *Table) SetDraining(draining map[granitehoist.Upstream]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range t.members {
		m.draining = draining[name]
	}
	for name := range draining {
		if _, ok := t.members[name]; !ok {
			t.members[name] = &member{Target: Target{Name: name}, draining: draining[name]}
		}
	}
}

// Slot is the capacity reserved at an upstream for one attempt. Done must be called
// exactly once.
type Slot struct {
	Upstream granitehoist.Upstream
	table    *Table
	pool     *servicePool
	member   *member
	// acquiredAt is when the upstream was chosen. probe says that the upstream had not
	// recovered from a backoff at that time.
	acquiredAt time.Time
	probe      bool
}

// Backoff records that the upstream rejected the attempt and requested no further
// requests for a duration. It must be called before Done.
func (s *Slot) Backoff(duration time.Duration, now time.Time) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.member.backoff.Extend(duration, now)
}

// endProbe applies the result of a request that probed an upstream after a backoff. The
// caller holds the table's lock.
func (s *Slot) endProbe(r Result) {
	if !s.probe {
		return
	}
	backoff := &s.member.backoff
	backoff.EndProbe()
	switch r {
	case Succeeded:
		backoff.Accepted(s.acquiredAt, s.member.Concurrency)
	case Failed:
		backoff.Rejected()
	case Inconclusive:
	}
}

// Result is the outcome of an attempt, as far as it concerns later choices.
type Result int

// Results of an attempt.
const (
	// Succeeded means that the upstream served the attempt or rejected an invalid request.
	Succeeded Result = iota
	// Failed means that the upstream refused or failed the attempt.
	Failed
	// Inconclusive means that the result says nothing about the upstream, for example
	// because the caller disconnected.
	Inconclusive
)

// Done ends an attempt, records its result and assigns the freed capacity to queued
// requests.
func (s *Slot) Done(r Result, now time.Time) {
	t, m := s.table, s.member
	t.mu.Lock()
	defer t.mu.Unlock()
	m.inFlight--
	s.endProbe(r)
	pool := s.pool.current()
	if pool == s.pool || pool.contains(m) {
		// A newer pool that lacks the member has not counted this request.
		pool.inFlight--
	}
	switch r {
	case Succeeded:
		m.failures = 0
	case Failed:
		m.failures++
		m.ejectedUntil = now.Add(ejectionTime(m.failures))
	case Inconclusive:
	}
	t.serveQueue(pool, now)
}
