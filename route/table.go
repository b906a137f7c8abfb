// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
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

	mu     sync.Mutex
	states map[granitehoist.Upstream]*state
	queues map[granitehoist.Service]*queue
}

// Settings configure a Table. The zero value works.
type Settings struct {
	// Slack is how much more than the average load an upstream may have before
	// requests pass on to the next; zero stands for DefaultSlack.
	Slack float64
	// Eject is how long an upstream is left out after its first failure in a
	// row; zero stands for DefaultEject.
	Eject time.Duration
	// QueueLimit bounds the requests of a service that wait; zero stands for
	// DefaultQueueLimit.
	QueueLimit int
}

// Defaults of Settings.
const (
	DefaultSlack      = 0.25
	DefaultEject      = 500 * time.Millisecond
	DefaultQueueLimit = 1000
	maxEject          = 30 * time.Second
)

type state struct {
	inFlight int
	failures int
	until    time.Time
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	if s.Slack == 0 {
		s.Slack = DefaultSlack
	}
	if s.Eject == 0 {
		s.Eject = DefaultEject
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = DefaultQueueLimit
	}
	return &Table{settings: s, states: map[granitehoist.Upstream]*state{}, queues: map[granitehoist.Service]*queue{}}
}

// Want is what an attempt asks of the table.
type Want struct {
	Service granitehoist.Service
	Targets []Target
	// Affinity is the hash of what requests should share an upstream by; zero
	// stands for none.
	Affinity uint64
	Priority granitehoist.Priority
	// Tried holds the upstreams that are not to be chosen again.
	Tried map[granitehoist.Upstream]bool
}

// Prefix returns the affinity of a prompt: the hash of its first bytes.
func Prefix(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// prefixBytes is the length of the beginning that requests of one kind share.
const prefixBytes = 256

// Slot is an upstream chosen for one attempt. It is to be ended by Done.
type Slot struct {
	Upstream granitehoist.Upstream
	table    *Table
	service  granitehoist.Service
}

// Acquire chooses an upstream, or waits for one until ctx ends. Its errors are
// *Error with codes NoUpstream and Overloaded.
func (t *Table) Acquire(ctx context.Context, w Want, now time.Time) (*Slot, error) {
	t.mu.Lock()
	slot, found := t.pick(w, now)
	if slot != nil {
		t.mu.Unlock()
		return slot, nil
	}
	if !found {
		t.mu.Unlock()
		return nil, t.none(w)
	}
	q := t.queue(w.Service)
	if len(q.waiters) >= t.settings.QueueLimit {
		t.mu.Unlock()
		return nil, overloaded()
	}
	waiter := q.add(w)
	t.mu.Unlock()
	select {
	case slot := <-waiter.slot:
		return slot, nil
	case <-ctx.Done():
		return t.leave(q, waiter)
	}
}

func (t *Table) none(w Want) error {
	e := granitehoist.Errorf(granitehoist.NoUpstream, "service %s", w.Service)
	e.RetryAfter = time.Second
	return e
}

func overloaded() error {
	e := granitehoist.Errorf(granitehoist.Overloaded, "")
	e.RetryAfter = time.Second
	return e
}

// leave ends a wait. A slot that was given at the same moment is taken.
func (t *Table) leave(q *queue, w *waiter) (*Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case slot := <-w.slot:
		return slot, nil
	default:
	}
	q.remove(w)
	return nil, overloaded()
}

// pick chooses an upstream with room. found is false if no upstream could be
// chosen even with room.
func (t *Table) pick(w Want, now time.Time) (slot *Slot, found bool) {
	candidates := t.candidates(w, now)
	if len(candidates) == 0 {
		return nil, false
	}
	limit := t.limit(candidates)
	t.order(candidates, w.Affinity)
	for _, c := range candidates {
		if t.states[c.Name].inFlight < min(c.Concurrency, limit) {
			t.states[c.Name].inFlight++
			return &Slot{Upstream: c.Name, table: t, service: w.Service}, true
		}
	}
	return nil, true
}

// candidates returns the targets that were not tried and are not left out. If
// all are left out, the one that returns first stands in for all.
func (t *Table) candidates(w Want, now time.Time) []Target {
	var candidates []Target
	var first *Target
	for _, target := range w.Targets {
		if w.Tried[target.Name] {
			continue
		}
		s := t.state(target.Name)
		if !now.Before(s.until) {
			candidates = append(candidates, target)
			continue
		}
		if first == nil || s.until.Before(t.states[first.Name].until) {
			first = &target
		}
	}
	if len(candidates) == 0 && first != nil {
		return []Target{*first}
	}
	return candidates
}

func (t *Table) state(u granitehoist.Upstream) *state {
	s, ok := t.states[u]
	if !ok {
		s = &state{}
		t.states[u] = s
	}
	return s
}

// limit returns the load bound: the average with the new request, and slack.
func (t *Table) limit(candidates []Target) int {
	total := 1
	for _, c := range candidates {
		total += t.states[c.Name].inFlight
	}
	average := float64(total) / float64(len(candidates))
	return int(average*(1+t.settings.Slack)) + 1
}

// order sorts candidates by rendezvous weight, or by load without affinity.
func (t *Table) order(candidates []Target, affinity uint64) {
	if affinity == 0 {
		sort.SliceStable(candidates, func(i, j int) bool {
			return t.states[candidates[i].Name].inFlight < t.states[candidates[j].Name].inFlight
		})
		return
	}
	sort.Slice(candidates, func(i, j int) bool {
		return weight(candidates[i].Name, affinity) > weight(candidates[j].Name, affinity)
	})
}

// weight mixes an upstream's name with an affinity.
func weight(u granitehoist.Upstream, affinity uint64) uint64 {
	h := xxhash.NewWithSeed(affinity)
	// The hash does not fail.
	_, _ = h.WriteString(string(u))
	return h.Sum64()
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
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(s.Upstream)
	st.inFlight--
	switch r {
	case Good:
		st.failures = 0
	case Bad:
		st.failures++
		st.until = now.Add(min(maxEject, t.settings.Eject<<min(st.failures-1, 10)))
	case Unclear:
	}
	t.serveQueue(s.service, now)
}

// InFlight returns the requests in progress at an upstream.
func (t *Table) InFlight(u granitehoist.Upstream) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(u).inFlight
}
