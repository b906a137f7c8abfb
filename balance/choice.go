// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

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
