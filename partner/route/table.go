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

// Table knows the requests in progress and the failures of each upstream, as
// this router sees them. It is safe for concurrent use and makes no calls.
type Table struct {
	settings Settings

	mu      sync.Mutex
	random  *rand.Rand
	members map[granitehoist.Upstream]*member
	pools   map[granitehoist.Service]*servicePool
}

// Settings configure a Table. The zero value works.
type Settings struct {
	// Slack is how much more than the average load an upstream may have before
	// requests pass on to the next; zero stands for DefaultSlack.
	Slack float64
	// Ejection is how long an upstream is left out after its first failure in a
	// row; zero stands for DefaultEject.
	Ejection time.Duration
	// QueueLimit bounds the requests of a service that wait; zero stands for
	// DefaultQueueLimit.
	QueueLimit int
	// Seed chooses among equals.
	Seed uint64
}

// Defaults of Settings.
const (
	DefaultSlack         = 0.25
	DefaultEjection      = 500 * time.Millisecond
	DefaultQueueLimit    = 1000
	maxEjection          = 30 * time.Second
	maxEjectionDoublings = 10
)

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	defaults.Set(&s.Slack, DefaultSlack)
	defaults.Set(&s.Ejection, DefaultEjection)
	defaults.Set(&s.QueueLimit, DefaultQueueLimit)
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

// PrefixAffinity returns the affinity of a prompt's beginning.
func PrefixAffinity(beginning []byte) uint64 { return xxhash.Sum64(beginning) }

// Slot is an upstream chosen for one attempt. It is to be ended by Done.
type Slot struct {
	Upstream granitehoist.Upstream
	table    *Table
	pool     *servicePool
	member   *member
}

// Acquire chooses an upstream, or waits for one until ctx ends. Its errors are
// *Error with codes NoUpstream and Overloaded.
func (t *Table) Acquire(ctx context.Context, w Want, now time.Time) (*Slot, error) {
	t.mu.Lock()
	pool := t.currentPool(w)
	slot, possible := t.assign(pool, w, now)
	switch {
	case slot != nil:
		t.mu.Unlock()
		return slot, nil
	case !possible:
		t.mu.Unlock()
		return nil, noUpstream(w)
	case len(pool.waiters) >= t.settings.QueueLimit:
		t.mu.Unlock()
		return nil, overloaded()
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

func noUpstream(w Want) error {
	return granitehoist.Errorf(granitehoist.NoUpstream, "service %s", w.Service)
}

func overloaded() error {
	return granitehoist.Errorf(granitehoist.Overloaded, "")
}

// abandonWait ends a wait. A slot that was given at the same moment is taken.
func (t *Table) abandonWait(p *servicePool, w *waiter) (*Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case slot := <-w.slot:
		return slot, nil
	default:
	}
	p.waiters.remove(w)
	return nil, overloaded()
}

// currentPool returns the prepared upstreams of a service. Requests in progress and
// waiting stay with the pool in which they began.
func (t *Table) currentPool(w Want) *servicePool {
	p, ok := t.pools[w.Service]
	if ok && sameSlice(p.targets, w.Targets) {
		return p
	}
	if ok && slices.Equal(p.targets, w.Targets) {
		p.targets = w.Targets
		return p
	}
	next := &servicePool{service: w.Service, targets: w.Targets}
	for _, target := range w.Targets {
		m, exists := t.members[target.Name]
		if !exists {
			m = &member{}
			t.members[target.Name] = m
		}
		m.Target = target
		next.members = append(next.members, m)
		next.inFlight += m.inFlight
	}
	next.ring = newRing(next.members)
	if ok {
		next.waiters = p.waiters
		p.waiters = nil
		p.next = next
	}
	t.pools[w.Service] = next
	return next
}

func sameSlice(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// assign chooses an upstream with room. found is false if no upstream could be
// chosen even with room.
func (t *Table) assign(p *servicePool, w Want, now time.Time) (slot *Slot, possible bool) {
	if len(p.members) == 0 {
		return nil, false
	}
	if m := t.choose(p, w, now); m != nil {
		return t.take(p, m), true
	}
	first, untried := p.firstReturning(w, now)
	if first != nil && first.inFlight < first.Concurrency {
		return t.take(p, first), true
	}
	return nil, untried
}

// choose returns a member with room, nil if there is none.
func (t *Table) choose(p *servicePool, w Want, now time.Time) *member {
	if w.Affinity != 0 {
		if m := p.byRing(w, p.loadLimit(t.settings.Slack), now); m != nil {
			return m
		}
	}
	if m := p.lightest(w, t.random.IntN, now); m != nil {
		return m
	}
	return p.scan(w, now)
}

func (t *Table) take(p *servicePool, m *member) *Slot {
	m.inFlight++
	p.inFlight++
	return &Slot{Upstream: m.Name, table: t, pool: p, member: m}
}

// Result is how an attempt ended, for the choice of later ones.
type Result int

// The results.
const (
	// Good says that the upstream did its part.
	Good Result = iota
	// Bad says that the upstream refused or failed.
	Bad
	// Unclear says nothing of the upstream: the caller left, say.
	Unclear
)

// Done ends an attempt and gives its room to a waiting request.
func (s *Slot) Done(r Result, now time.Time) {
	t, m := s.table, s.member
	t.mu.Lock()
	defer t.mu.Unlock()
	m.inFlight--
	pool := s.pool.current()
	pool.inFlight--
	switch r {
	case Good:
		m.failures = 0
	case Bad:
		m.failures++
		m.ejectedUntil = now.Add(min(maxEjection, t.settings.Ejection<<min(m.failures-1, maxEjectionDoublings)))
	case Unclear:
	}
	t.serveQueue(pool, now)
}

// SetLeaving names all upstreams that are leaving: they get no new work. What
// is in progress there goes on.
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

// InFlight returns the requests in progress at an upstream.
func (t *Table) InFlight(u granitehoist.Upstream) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.members[u]; ok {
		return m.inFlight
	}
	return 0
}
