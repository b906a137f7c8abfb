// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Instance is one run of an upstream as it announced itself.
type Instance struct {
	// ID is new at each start of an upstream.
	ID      granitehoist.Upstream
	Service granitehoist.Service
	// Address is its IP and port.
	Address  string
	Zone     granitehoist.AvailabilityZone
	Capacity int
	// Draining instances finish what they have and get nothing new.
	Draining bool
	// Version is the store's version of the announcement.
	Version granitehoist.Version
}

// Settings configure a Table.
type Settings struct {
	// Zone is this router's own; equal instances nearby are preferred.
	Zone granitehoist.AvailabilityZone
	// Ejection is how long an instance is left out after failures in a row; zero
	// stands for DefaultEject.
	Ejection time.Duration
	// Seed chooses among equals.
	Seed uint64
}

// Constants of the estimate. They need only be roughly right: what counts is
// the order of instances.
const (
	DefaultEjection = 400 * time.Millisecond
	maxEjection     = 4 * time.Second
	// ejectAfterFailures is the number of failures in a row after which an instance is
	// left out.
	ejectAfterFailures = 2
	// tokensPerMS is how fast a prompt is read.
	tokensPerMS = 50.0
	// perRequestMS is how much one more request in progress slows an instance.
	perRequestMS = 4.0
	// failureMS is the weight of an instance all of whose attempts fail.
	failureMS = 400.0
	// otherZoneMS is the weight of being in another availability zone.
	otherZoneMS = 1.0
	// failureWeight is that of the newest attempt in the mean of failures.
	failureWeight = 0.2
	// cacheMissWeight is what sending a beginning away from its home costs besides
	// reading it there, as a part of that.
	cacheMissWeight = 0.5
	// prefixCacheTime is how long a beginning is taken to be in a cache.
	prefixCacheTime = 20 * time.Second
	// maxRememberedPrefixes bounds the beginnings that are remembered of an instance.
	maxRememberedPrefixes = 512
	// removedGrace is how long an instance whose announcement has gone may be
	// used when its service has no other.
	removedGrace = 1500 * time.Millisecond
)

// Table knows the instances of all services and what this router has under way
// at each. It makes no calls and is safe for concurrent use.
type Table struct {
	settings Settings

	mu       sync.Mutex
	random   *rand.Rand
	services map[granitehoist.Service][]*member
	members  map[granitehoist.Upstream]*member
}

type member struct {
	Instance
	inFlight      int
	prefill       granitehoist.Tokens
	failuresInRow int
	failureRate   float64
	ejectedUntil  time.Time
	removedAt     time.Time
	seed          uint64
	// prefixSentAt holds when beginnings were sent here that have their home elsewhere.
	prefixSentAt map[uint64]time.Time
}

// New returns an empty table.
func New(s Settings) *Table {
	defaults.Set(&s.Ejection, DefaultEjection)
	return &Table{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		services: map[granitehoist.Service][]*member{},
		members:  map[granitehoist.Upstream]*member{},
	}
}

// Announce takes in an instance's announcement, and returns the instance that
// it stood for before and whether there was one. An older announcement changes
// nothing.
func (t *Table) Announce(i Instance) (before Instance, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[i.ID]
	if !known {
		m = &member{seed: xxhash.Sum64String(string(i.ID))}
		t.members[i.ID] = m
	}
	before = m.Instance
	if known && i.Version < before.Version {
		return before, true
	}
	if known && before.Service != i.Service {
		t.unlist(m)
	}
	m.Instance = i
	m.removedAt = time.Time{}
	if !known || before.Service != i.Service {
		t.services[i.Service] = append(t.services[i.Service], m)
	}
	return before, known
}

// Remove says that an instance's announcement has gone. It returns the instance
// and whether it was known.
func (t *Table) Remove(id granitehoist.Upstream, now time.Time) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[id]
	if !known {
		return Instance{}, false
	}
	if m.removedAt.IsZero() {
		m.removedAt = now
	}
	t.sweep(now)
	return m.Instance, true
}

// sweep drops the instances that can't be used any more.
func (t *Table) sweep(now time.Time) {
	for id, m := range t.members {
		if m.removedAt.IsZero() || now.Sub(m.removedAt) < removedGrace || m.inFlight > 0 {
			continue
		}
		t.unlist(m)
		delete(t.members, id)
	}
}

func (t *Table) unlist(m *member) {
	listed := t.services[m.Service]
	for i, other := range listed {
		if other == m {
			t.services[m.Service] = append(listed[:i:i], listed[i+1:]...)
			return
		}
	}
}

// Query is what an attempt asks of the table.
type Query struct {
	Service granitehoist.Service
	// PrefixHash is the hash of the beginning that requests share; zero stands
	// for none. Shared is its length and Prompt that of the whole prompt.
	PrefixHash   uint64
	PrefixTokens granitehoist.Tokens
	PromptTokens granitehoist.Tokens
	// Tried holds the instances that are not to be chosen again.
	Tried map[granitehoist.Upstream]bool
}

// Lease is an instance chosen for one attempt. It is to be ended by Done.
type Lease struct {
	Instance
	// Owner says that requests with the same beginning have their home here.
	Owner bool
	// Load is the number of this router's requests in progress there before.
	Load         int
	table        *Table
	member       *member
	unreadTokens granitehoist.Tokens
}

// Pick chooses an instance. It returns an error with code NoUpstream if the
// service has none that was not tried.
func (t *Table) Pick(q Query, now time.Time) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(q, now)
	if len(candidates) == 0 {
		e := granitehoist.Errorf(granitehoist.NoUpstream, "service %s", q.Service)
		e.RetryAfter = noUpstreamRetry
		return nil, e
	}
	owner := ownerOf(candidates, q.PrefixHash)
	best := candidates[0]
	least := t.cost(best, q, owner, now)
	for _, m := range candidates[1:] {
		if cost := t.cost(m, q, owner, now); cost < least {
			best, least = m, cost
		}
	}
	return t.take(best, q, owner, now), nil
}

// noUpstreamRetry is when a caller should come back if there is no instance.
const noUpstreamRetry = 500 * time.Millisecond

// candidates returns the instances that may be chosen: those that are live, or
// else those left out for failures, or else those gone a moment ago.
func (t *Table) candidates(q Query, now time.Time) []*member {
	var live, ejected, removed []*member
	for _, m := range t.services[q.Service] {
		switch {
		case q.Tried[m.ID] || m.Draining:
		case !m.removedAt.IsZero():
			if now.Sub(m.removedAt) < removedGrace {
				removed = append(removed, m)
			}
		case now.Before(m.ejectedUntil):
			ejected = append(ejected, m)
		default:
			live = append(live, m)
		}
	}
	switch {
	case len(live) > 0:
		return live
	case len(ejected) > 0:
		sort.Slice(ejected, func(i, j int) bool { return ejected[i].ejectedUntil.Before(ejected[j].ejectedUntil) })
		return ejected[:1]
	}
	return removed
}

// ownerOf returns the member with the highest hash of its id and the affinity.
func ownerOf(members []*member, affinity uint64) *member {
	if affinity == 0 {
		return nil
	}
	var owner *member
	var highest uint64
	for _, m := range members {
		if hash := mix(m.seed ^ affinity); owner == nil || hash > highest {
			owner, highest = m, hash
		}
	}
	return owner
}

// mix spreads the bits of a number (the finalizer of MurmurHash3, A. Appleby).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// cost estimates the wait at a member in milliseconds.
func (t *Table) cost(m *member, q Query, owner *member, now time.Time) float64 {
	read := q.PromptTokens
	if t.cached(m, q, owner, now) {
		read -= q.PrefixTokens
	}
	cost := float64(m.prefill+read) / tokensPerMS
	if m != owner {
		// Reading a beginning at yet another instance takes memory there, and
		// the home will go on to be asked for it by other routers.
		cost += cacheMissWeight * float64(q.PrefixTokens) / tokensPerMS
	}
	cost += perRequestMS * float64(m.inFlight) * t.scale(m)
	cost += failureMS * m.failureRate
	if m.Zone != t.settings.Zone {
		cost += otherZoneMS
	}
	return cost + t.random.Float64()
}

// smallCapacity is that of plain services, where a request more weighs more.
const smallCapacity = 16

func (t *Table) scale(m *member) float64 {
	if m.Capacity <= 0 || m.Capacity >= smallCapacity {
		return 1
	}
	return smallCapacity / float64(m.Capacity)
}

// cached reports whether the beginning of a prompt is likely in a member's
// cache: it is the home, or this router sent it there a short while ago.
func (t *Table) cached(m *member, q Query, owner *member, now time.Time) bool {
	if q.PrefixHash == 0 {
		return false
	}
	if m == owner {
		return true
	}
	last, ok := m.prefixSentAt[q.PrefixHash]
	return ok && now.Sub(last) < prefixCacheTime
}

func (t *Table) take(m *member, q Query, owner *member, now time.Time) *Lease {
	unread := q.PromptTokens
	if t.cached(m, q, owner, now) {
		unread -= q.PrefixTokens
	}
	if q.PrefixHash != 0 && m != owner {
		m.rememberPrefix(q.PrefixHash, now)
	}
	lease := &Lease{Instance: m.Instance, Owner: m == owner, Load: m.inFlight, table: t, member: m, unreadTokens: unread}
	m.inFlight++
	m.prefill += unread
	return lease
}

// rememberPrefix notes that a beginning was sent to a member.
func (m *member) rememberPrefix(affinity uint64, now time.Time) {
	if m.prefixSentAt == nil || len(m.prefixSentAt) >= maxRememberedPrefixes {
		m.prefixSentAt = map[uint64]time.Time{}
	}
	m.prefixSentAt[affinity] = now
}

// PromptRead says that the prompt has been read: the first event has come.
func (l *Lease) PromptRead() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.member.prefill -= l.unreadTokens
	l.unreadTokens = 0
}

// Result is how an attempt ended, for the choice of later ones.
type Result int

// The results.
const (
	// Good says that the instance did its part.
	Good Result = iota
	// Failed says that it answered with a failure of its own.
	Failed
	// Refused says that it has no room.
	Refused
	// Broken says that no answer came, or one that can't be used.
	Broken
	// Unclear says nothing of the instance: the caller left, say.
	Unclear
	// Moved says that another instance has the address.
	Moved
)

// Done ends an attempt.
func (l *Lease) Done(r Result, now time.Time) {
	l.PromptRead()
	t, m := l.table, l.member
	t.mu.Lock()
	defer t.mu.Unlock()
	m.inFlight--
	switch r {
	case Good:
		m.failuresInRow = 0
		m.failureRate -= m.failureRate * failureWeight
	case Failed:
		m.failureRate += (1 - m.failureRate) * failureWeight
	case Refused:
		m.ejectedUntil = now.Add(t.settings.Ejection / refusedDivisor)
	case Broken:
		m.failuresInRow++
		m.failureRate += (1 - m.failureRate) * failureWeight
		if m.failuresInRow >= ejectAfterFailures {
			m.ejectedUntil = now.Add(min(maxEjection, t.settings.Ejection<<min(m.failuresInRow-ejectAfterFailures, maxEjectionDoublings)))
		}
	case Moved:
		m.ejectedUntil = now.Add(maxEjection)
	case Unclear:
	}
}

// Bounds of being left out.
const (
	maxEjectionDoublings = 5
	refusedDivisor       = 4
)

// Status is what the table knows of an instance, for logs and metrics.
type Status struct {
	Instance
	InFlight    int
	FailureRate float64
	Ejected     bool
}

// Statuses returns the instances of all services, by id.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.members))
	for _, m := range t.members {
		statuses = append(statuses, Status{Instance: m.Instance, InFlight: m.inFlight, FailureRate: m.failureRate, Ejected: now.Before(m.ejectedUntil) || !m.removedAt.IsZero()})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}

// PrefixHash returns the hash of a prompt's shared parts.
func PrefixHash(parts []string) uint64 {
	if len(parts) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}
