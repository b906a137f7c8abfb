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

// Target is an upstream that may be chosen.
type Target struct {
	Name granitehoist.Upstream
	// Concurrency bounds the requests in progress from this router.
	Concurrency int
}

// Table has the requests in progress and the failures of each upstream, as
// this router sees them. It is safe for concurrent use and makes no calls.
type Table struct {
	settings Settings

	// mu guards the fields below and everything reached from them.
	mu      sync.Mutex
	random  *rand.Rand
	members map[granitehoist.Upstream]*member
	pools   map[granitehoist.Service]*servicePool
}

// Settings configure a Table. The zero value works.
type Settings struct {
	// QueueLimit bounds the requests of a service that wait; zero stands for
	// defaultQueueLimit.
	QueueLimit int
	// Seed chooses among equals.
	Seed uint64
}

// defaultQueueLimit is in requests of one service at one router.
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

// Want is what an attempt asks of the table.
type Want struct {
	Service granitehoist.Service
	// Targets are the service's upstreams. They are not to be changed; a new
	// slice is compared with the last one.
	Targets []Target
	// Affinity is the hash of what requests should share an upstream by; zero
	// stands for none.
	Affinity uint64
	Priority granitehoist.Priority
	// Tried holds the upstreams that are not to be chosen again.
	Tried map[granitehoist.Upstream]bool
}

// PrefixAffinity returns the affinity of requests that share a prefix of their
// prompts.
func PrefixAffinity(prefix []byte) uint64 { return xxhash.Sum64(prefix) }

// Acquire chooses an upstream, or waits for one until ctx ends. Its errors are
// *Error with codes NoUpstream, if the service has none that could be chosen,
// and Overloaded, if none had room in time, too many requests wait, or all have asked for
// rest: the error then says when the first rest ends.
func (t *Table) Acquire(ctx context.Context, w Want, now time.Time) (*Slot, error) {
	t.mu.Lock()
	pool := t.currentPool(w)
	slot, possible := t.assign(pool, w, now)
	if slot != nil {
		t.mu.Unlock()
		return slot, nil
	}
	if err := t.refuseWait(pool, w, possible, now); err != nil {
		t.mu.Unlock()
		return nil, err
	}
	added := pool.waiters.add(w)
	t.mu.Unlock()
	select {
	case slot := <-added.slot:
		return slot, nil
	case <-ctx.Done():
		return t.abandonWait(pool, added)
	}
}

// refuseWait decides whether a request that finds no room may wait; nil if it may. possible
// says that an upstream could be chosen if it had room. The caller holds mu.
func (t *Table) refuseWait(pool *servicePool, w Want, possible bool, now time.Time) error {
	if !possible {
		return granitehoist.Errorf(granitehoist.NoUpstream, "service %s", w.Service)
	}
	if left, all := pool.restsUntil(w, now); all {
		refused := granitehoist.Errorf(granitehoist.Overloaded, "all upstreams of service %s rest", w.Service)
		refused.RetryAfter = left
		return refused
	}
	if len(pool.waiters) >= t.settings.QueueLimit {
		return granitehoist.Errorf(granitehoist.Overloaded, "")
	}
	return nil
}

// currentPool returns the prepared upstreams of a service. Requests in progress
// and waiting stay with the members and pass on to the new pool.
func (t *Table) currentPool(w Want) *servicePool {
	p, exists := t.pools[w.Service]
	if exists && sameSlice(p.targets, w.Targets) {
		return p
	}
	if exists && slices.Equal(p.targets, w.Targets) {
		p.targets = w.Targets
		return p
	}
	next := t.newPool(w.Targets)
	if exists {
		next.waiters = p.waiters
		p.waiters = nil
		p.next = next
	}
	t.pools[w.Service] = next
	return next
}

// newPool prepares upstreams. Those that were in a pool before keep their
// requests in progress and their failures.
func (t *Table) newPool(targets []Target) *servicePool {
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

func sameSlice(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// assign chooses an upstream with room and takes it. possible is false if no
// upstream could be chosen even with room.
func (t *Table) assign(p *servicePool, w Want, now time.Time) (slot *Slot, possible bool) {
	if m := p.choose(w, t.random, now); m != nil {
		return t.take(p, m, now), true
	}
	first, untried := p.firstReturning(w, now)
	if first != nil && first.inFlight < first.Concurrency {
		return t.take(p, first, now), true
	}
	return nil, untried
}

// take counts a request at a member and returns its slot. The caller holds mu.
func (t *Table) take(p *servicePool, m *member, now time.Time) *Slot {
	m.inFlight++
	p.inFlight++
	slot := &Slot{Upstream: m.Name, table: t, pool: p, member: m, taken: now, trial: !m.rest.IsOver()}
	if slot.trial {
		m.rest.Try()
	}
	return slot
}

// SetLeaving names all upstreams that are leaving: they get no new requests.
// Those in progress there go on.
func (t *Table) SetLeaving(leaving map[granitehoist.Upstream]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range t.members {
		m.leaving = leaving[name]
	}
	for name := range leaving {
		if _, ok := t.members[name]; !ok {
			t.members[name] = &member{Target: Target{Name: name}, leaving: leaving[name]}
		}
	}
}

// Slot is an upstream chosen for one attempt. It is to be ended by one Done.
type Slot struct {
	Upstream granitehoist.Upstream
	table    *Table
	pool     *servicePool
	member   *member
	// taken is when it was chosen, and trial says that its upstream had rested before and
	// had not recovered.
	taken time.Time
	trial bool
}

// Rest records that the upstream turned the attempt away and asked for a time without
// requests. It is called before Done.
func (s *Slot) Rest(asked time.Duration, now time.Time) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.member.rest.Ask(asked, now)
}

// endTrial takes the result of a request after a rest. The caller holds the table's lock.
func (s *Slot) endTrial(r Result) {
	if !s.trial {
		return
	}
	rest := &s.member.rest
	rest.EndTry()
	switch r {
	case Good:
		rest.Took(s.taken, s.member.Concurrency)
	case Bad:
		rest.Refused()
	case Unclear:
	}
}

// Result is how an attempt ended, for the choice of later ones.
type Result int

// The results.
const (
	// Good says that the upstream served the attempt, or that the request was wrong.
	Good Result = iota
	// Bad says that the upstream refused or failed.
	Bad
	// Unclear counts neither way: for example, the caller left.
	Unclear
)

// Done ends an attempt and gives its room to a waiting request.
func (s *Slot) Done(r Result, now time.Time) {
	t, m := s.table, s.member
	t.mu.Lock()
	defer t.mu.Unlock()
	m.inFlight--
	s.endTrial(r)
	pool := s.pool.current()
	if pool == s.pool || pool.has(m) {
		// A pool without the member never counted this request.
		pool.inFlight--
	}
	switch r {
	case Good:
		m.failures = 0
	case Bad:
		m.failures++
		m.ejectedUntil = now.Add(ejection(m.failures))
	case Unclear:
	}
	t.serveQueue(pool, now)
}
