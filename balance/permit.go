// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// This file keeps the permits of a router for instances that name a limit, and what it
// still wants. Whoever drives the table fetches permits: it takes PermitRequests, asks
// the router that issues them, and gives the answers to NotePermits. An instance without a
// permit is no candidate; a request that finds no other instance waits for one
// (waiting.go) or is refused.

// permitAhead is how long before it is due a permit is fetched for requests that have
// another instance meanwhile.
const permitAhead = 100 * time.Millisecond

// PermitRequest asks for permits for one instance.
type PermitRequest struct {
	// Limit is what this router believes of the instance's limit.
	Limit LimitRecord
	// Count is the number of requests that could use a permit, at least one.
	Count int
	// Within is for how long they can wait.
	Within time.Duration
}

// PermitAnswer is the answer to a PermitRequest.
type PermitAnswer struct {
	Life Life
	// Count permits may be used from Due until Expires.
	Count        int
	Due, Expires time.Time
	// Retry is when to ask again if Count is zero.
	Retry time.Time
}

// limitState is what the table keeps of an instance that names a limit or has done so.
type limitState struct {
	known  knownLimit
	demand permitDemand
	// permits are those that were issued for the instance and have not been used.
	permits []permitBatch
	// expired counts the permits that were never used.
	expired int64
}

// permitBatch holds permits that may be used from due until expires.
type permitBatch struct {
	count        int
	due, expires time.Time
}

// permitDemand is what a router wants of permits for one instance.
type permitDemand struct {
	// wanted counts the requests that lacked a permit since the last time one was asked
	// for, and within is the longest time that one of them can wait.
	wanted int
	within time.Duration
	// listed says that the instance stands in the table's list of those that want some.
	listed bool
	// asking says that a question is under way, notBefore when the next may follow.
	asking    bool
	notBefore time.Time
}

// hasPermit reports whether a permit may be used now. It drops those that have expired.
func (l *limitState) hasPermit(now time.Time) bool {
	kept := l.permits[:0]
	for _, batch := range l.permits {
		if batch.count > 0 && !now.Before(batch.expires) {
			l.expired += int64(batch.count)
			continue
		}
		if batch.count > 0 {
			kept = append(kept, batch)
		}
	}
	l.permits = kept
	for _, batch := range l.permits {
		if !now.Before(batch.due) {
			return true
		}
	}
	return false
}

// usePermit uses one of the permits that hasPermit found.
func (l *limitState) usePermit(now time.Time) {
	for i := range l.permits {
		batch := &l.permits[i]
		if batch.count > 0 && !now.Before(batch.due) && now.Before(batch.expires) {
			batch.count--
			return
		}
	}
}

// nextChance returns the time until a permit may be had for the instance: until the first
// one is due, or until the next one may be asked for; zero if a question is under way.
func (l *limitState) nextChance(now time.Time) time.Duration {
	if len(l.permits) > 0 {
		return max(0, l.permits[0].due.Sub(now))
	}
	if l.demand.asking {
		return 0
	}
	return max(0, l.demand.notBefore.Sub(now))
}

// isLimited reports whether the instance gets nothing without a permit.
func (s *instanceState) isLimited() bool { return s.limit != nil && s.limit.known.named }

// lacksPermit reports whether the instance must not get a request that may use a permit
// only if mayUse says so.
func (s *instanceState) lacksPermit(mayUse bool, now time.Time) bool {
	return s.isLimited() && !(s.limit.hasPermit(now) && mayUse)
}

// want records that a request could have used a permit for an instance. One that waits has
// been counted before. The caller holds mu.
func (t *Table) want(s *instanceState, counted bool, within time.Duration) {
	demand := &s.limit.demand
	if !counted {
		demand.wanted++
	}
	demand.wanted = max(1, demand.wanted)
	demand.within = max(demand.within, within)
	if demand.listed {
		return
	}
	demand.listed = true
	t.wanting = append(t.wanting, s)
	t.wakeAsker()
}

// PermitsWanted returns a channel that gets something when PermitRequests may have
// something new. One goroutine receives from it.
func (t *Table) PermitsWanted() <-chan struct{} { return t.permitsWanted }

// PermitRequests returns what is to be asked for now, and when to call it again if nothing
// new is wanted before; the zero time if nothing waits for its time. Each request that it
// returns has to be answered by NotePermits.
func (t *Table) PermitRequests(now time.Time) (requests []PermitRequest, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := t.wanting[:0]
	for _, s := range t.wanting {
		demand := &s.limit.demand
		switch {
		case !s.isLimited(), t.instances[s.ID] != s:
			demand.listed, demand.wanted = false, 0
		case demand.asking:
			waiting = append(waiting, s)
		case now.Before(demand.notBefore):
			waiting = append(waiting, s)
			if next.IsZero() || demand.notBefore.Before(next) {
				next = demand.notBefore
			}
		default:
			requests = append(requests, PermitRequest{Limit: s.limitRecord(now), Count: demand.wanted, Within: demand.within})
			*demand = permitDemand{asking: true}
		}
	}
	clear(t.wanting[len(waiting):])
	t.wanting = waiting
	return requests, next
}

// NotePermits takes the answer to a request of PermitRequests.
func (t *Table) NotePermits(a PermitAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[a.Life.ID]
	if !found || s.Born != a.Life.Born || s.limit == nil {
		return
	}
	demand := &s.limit.demand
	demand.asking = false
	if a.Count > 0 {
		s.limit.permits = append(s.limit.permits, permitBatch{count: a.Count, due: a.Due, expires: a.Expires})
		demand.notBefore = a.Due
	} else {
		demand.notBefore = a.Retry
	}
	if demand.listed {
		t.wakeAsker()
	}
	t.wakeWaiting()
}
