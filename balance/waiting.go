// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// A request waits if all instances that it may use are deferred because of a backoff, a
// rate limit or a rejection limit. Waiting requests are served by priority: a deferred instance serves no
// request while one of higher priority waits for the same service, and no new request
// while one of equal priority waits. The number of waiting requests is limited
// (maxWaiters).

// Waiter is a request that waits for a deferred instance. Close must be called exactly
// once.
type Waiter struct {
	table    *Table
	service  *serviceState
	priority granitehoist.Priority
}

// NewWaiter registers a waiting request for its service. It returns false if so many
// requests are waiting that this one could not be served within the query's MaxWait.
func (t *Table) NewWaiter(q *Query) (*Waiter, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(q.Service)
	if service.waitingCount() >= service.maxWaiters(q.MaxWait) {
		return nil, false
	}
	w := &Waiter{table: t, service: service, priority: min(max(q.Priority, granitehoist.MinPriority), granitehoist.MaxPriority)}
	service.waiting[w.priority]++
	return w, true
}

// Close ends the wait of the request.
func (w *Waiter) Close() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.service.waiting[w.priority]--
	w.table.wakeWaiters()
}

// waitingCount returns the number of waiting requests.
func (s *serviceState) waitingCount() int {
	count := 0
	for _, n := range s.waiting {
		count += n
	}
	return count
}

// maxWaiters returns the maximum number of requests that may wait for the service, given
// the longest wait of a new one. It is one plus the sum, at most maxWaitersPerService, over
// the instances of the number of requests that this router alone could send within maxWait:
//
//   - to a rate-limited instance, its rate times maxWait;
//   - to any other instance that is in backoff or recovers from it, its concurrency;
//   - to any other instance with a rejection limit, one.
func (s *serviceState) maxWaiters(maxWait time.Duration) int {
	sum := 0.0
	for _, i := range s.instances {
		switch {
		case i.isLimited():
			sum += float64(i.limit.known.rate) * maxWait.Seconds()
		case !i.backoff.Inactive():
			sum += float64(i.concurrency())
		case i.rejections.limit > 0:
			sum++
		}
	}
	return 1 + int(math.Min(maxWaitersPerService, sum))
}

// maxWaitersPerService limits the sum in maxWaiters.
const maxWaitersPerService = 1000

// isFirstInQueue reports whether a query takes precedence over all waiting requests at
// deferred instances.
func (s *serviceState) isFirstInQueue(q *Query) bool {
	for p, n := range s.waiting {
		priority := granitehoist.Priority(p)
		if n > 0 && (priority > q.Priority || (priority == q.Priority && !q.Waiting)) {
			return false
		}
	}
	return true
}

// DeferredChanged returns a channel that is closed when a waiting request may find an
// instance.
func (t *Table) DeferredChanged() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deferredChanged
}

// wakeWaiters closes the channel of DeferredChanged. The caller holds mu.
func (t *Table) wakeWaiters() {
	close(t.deferredChanged)
	t.deferredChanged = make(chan struct{})
}

// signalPermitsWanted wakes the receiver of PermitsWanted. The caller holds mu.
func (t *Table) signalPermitsWanted() {
	select {
	case t.permitsWanted <- struct{}{}:
	default:
	}
}

// Deferral reports that all instances that a query may use are deferred.
type Deferral struct {
	// RetryIn is the time until an instance may accept a request; zero if unknown.
	RetryIn time.Duration
	// Backoff reports that a backoff, rather than the wait for a permit, determines RetryIn.
	Backoff bool
}

// DeferralOf returns the deferral in an error of Pick, and false for any other error.
func DeferralOf(err error) (Deferral, bool) {
	deferred, ok := err.(*deferredError)
	if !ok {
		return Deferral{}, false
	}
	return deferred.Deferral, true
}

// deferredError is the error of Pick if all instances that may be chosen are deferred.
type deferredError struct {
	Deferral
	service granitehoist.Service
}

func (e *deferredError) Error() string {
	return "balance: all upstreams of service " + string(e.service) + " are rate-limited, in backoff or must not reject more requests"
}

// deferral returns the error for a query whose instances, at least one, are all deferred.
func deferral(service granitehoist.Service, deferred []*instanceState, now time.Time) error {
	return &deferredError{service: service, Deferral: earliestDeferral(deferred, now)}
}

// earliestDeferral returns the deferral with the least RetryIn.
// There must be at least one instance.
func earliestDeferral(deferred []*instanceState, now time.Time) Deferral {
	first := deferred[0].deferral(now)
	for _, s := range deferred[1:] {
		if d := s.deferral(now); d.RetryIn < first.RetryIn {
			first = d
		}
	}
	return first
}

// deferral returns how long an instance is deferred: until its backoff has ended and, if
// the instance is rate-limited, timeToPermit has passed.
func (s *instanceState) deferral(now time.Time) Deferral {
	backoff := s.backoff.Remaining(now)
	if !s.isLimited() && s.backoff.Inactive() {
		return Deferral{RetryIn: s.rejections.retryIn(now)}
	}
	if !s.isLimited() {
		return Deferral{RetryIn: backoff, Backoff: backoff > 0}
	}
	permit := s.limit.timeToPermit(now)
	return Deferral{RetryIn: max(backoff, permit), Backoff: backoff > permit}
}
