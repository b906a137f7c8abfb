// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// This file manages a router's permits for rate-limited instances. The owner of the table
// fetches permits: it calls PermitRequests, asks the issuer, and passes the responses to
// AddPermits. A rate-limited instance without a permit is not a candidate; a request
// without another instance waits for a permit (waiting.go) or is refused.

// maxAdvanceWait is the MaxWait of a permit request for which no request is waiting, since
// the request that lacked the permit is sent to another instance. A later request uses the
// permit.
const maxAdvanceWait = 100 * time.Millisecond

// PermitRequest asks for permits for one instance.
type PermitRequest struct {
	// Limit is the known rate limit of the instance.
	Limit LimitRecord
	// Count is the number of permits wanted, at least one.
	Count int
	// MaxWait is the longest acceptable time until the first permit is due.
	MaxWait time.Duration
}

// PermitResponse is the response to a PermitRequest.
type PermitResponse struct {
	Incarnation Incarnation
	// Count permits are valid from Due until Expires.
	Count        int
	Due, Expires time.Time
	// RetryAt is when to ask again if Count is zero.
	RetryAt time.Time
}

// limitState holds the rate limit and the permits of an instance that has, or had, a
// limit.
type limitState struct {
	known  knownLimit
	demand permitDemand
	// permits holds the issued permits in the order of their arrival.
	permits []permitBatch
	// expired counts the permits that expired unused.
	expired int64
}

// permitBatch holds permits that are valid from due until expires.
type permitBatch struct {
	count        int
	due, expires time.Time
}

// permitDemand is a router's demand for permits for one instance.
type permitDemand struct {
	// count is the number of requests that lacked a permit since the last permit request;
	// at least one while queued. maxWait is the longest wait for a permit that any of these
	// requests accepts.
	count   int
	maxWait time.Duration
	// queued reports that the instance is in the table's awaitingPermits.
	queued bool
	// pending reports that a permit request is in flight. notBefore is the earliest time of
	// the next permit request, as set by the last response.
	pending   bool
	notBefore time.Time
}

// hasPermit reports whether a permit is valid now. It drops expired permits.
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

// usePermit consumes one of the permits that hasPermit found.
func (l *limitState) usePermit(now time.Time) {
	for i := range l.permits {
		batch := &l.permits[i]
		if batch.count > 0 && !now.Before(batch.due) && now.Before(batch.expires) {
			batch.count--
			return
		}
	}
}

// timeToPermit returns the time until the first permit is due or, without permits, until
// the next permit request; zero if a permit request is in flight.
func (l *limitState) timeToPermit(now time.Time) time.Duration {
	if len(l.permits) > 0 {
		return max(0, l.permits[0].due.Sub(now))
	}
	if l.demand.pending {
		return 0
	}
	return max(0, l.demand.notBefore.Sub(now))
}

// isLimited reports whether the instance is rate-limited and so requires permits.
func (s *instanceState) isLimited() bool { return s.limit != nil && s.limit.known.limited }

// lacksPermit reports whether the instance is rate-limited and the request can use no
// permit. mayUse is false if a waiting request takes precedence.
func (s *instanceState) lacksPermit(mayUse bool, now time.Time) bool {
	return s.isLimited() && !(s.limit.hasPermit(now) && mayUse)
}

// addPermitDemand records the demand of a request for a permit for an instance. counted
// reports that an earlier call counted the request, which is waiting now. The caller
// holds mu.
func (t *Table) addPermitDemand(s *instanceState, counted bool, maxWait time.Duration) {
	demand := &s.limit.demand
	if !counted {
		demand.count++
	}
	demand.count = max(1, demand.count)
	demand.maxWait = max(demand.maxWait, maxWait)
	if demand.queued {
		return
	}
	demand.queued = true
	t.awaitingPermits = append(t.awaitingPermits, s)
	t.signalPermitsWanted()
}

// PermitsWanted returns a channel that signals that PermitRequests may return new
// requests. It is meant for one receiver.
func (t *Table) PermitsWanted() <-chan struct{} { return t.permitsWanted }

// PermitRequests returns the permit requests to send now, and the time of the next call
// unless PermitsWanted signals earlier; zero if no request is scheduled. AddPermits
// must be called with the response to each returned request.
func (t *Table) PermitRequests(now time.Time) (requests []PermitRequest, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := t.awaitingPermits[:0]
	for _, s := range t.awaitingPermits {
		demand := &s.limit.demand
		switch {
		case !s.isLimited(), t.instances[s.ID] != s:
			demand.queued, demand.count = false, 0
		case demand.pending:
			remaining = append(remaining, s)
		case now.Before(demand.notBefore):
			remaining = append(remaining, s)
			if next.IsZero() || demand.notBefore.Before(next) {
				next = demand.notBefore
			}
		default:
			requests = append(requests, PermitRequest{Limit: s.limitRecord(now), Count: demand.count, MaxWait: demand.maxWait})
			*demand = permitDemand{pending: true}
		}
	}
	clear(t.awaitingPermits[len(remaining):])
	t.awaitingPermits = remaining
	return requests, next
}

// AddPermits applies the response to a request returned by PermitRequests. Responses for
// unknown incarnations are ignored.
func (t *Table) AddPermits(r PermitResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.instances[r.Incarnation.ID]
	if !found || s.StartedAtMS != r.Incarnation.StartedAtMS || s.limit == nil {
		return
	}
	demand := &s.limit.demand
	demand.pending = false
	if r.Count > 0 {
		s.limit.permits = append(s.limit.permits, permitBatch{count: r.Count, due: r.Due, expires: r.Expires})
		demand.notBefore = r.Due
	} else {
		demand.notBefore = r.RetryAt
	}
	if demand.queued {
		t.signalPermitsWanted()
	}
	t.wakeWaiters()
}
