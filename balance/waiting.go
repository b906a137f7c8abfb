// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// A request whose service has only instances that are deferred, since they rest or name a
// limit, waits for one. The more urgent ones go first: what such an instance takes is for no
// request while a more urgent one waits for the same service, and for none that has just
// come while another of its urgency waits. No more wait than these instances may take
// together in the time that one waits.

// Waiter is a request that waits for a deferred instance. Close must be called on it once.
type Waiter struct {
	table    *Table
	service  *serviceState
	priority granitehoist.Priority
}

// NewWaiter enters a request that waits for at most a time among those of its service. It
// returns false if that many wait already that it can't be served in that time.
func (t *Table) NewWaiter(q *Query) (*Waiter, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(q.Service)
	if service.waitingCount() >= service.mostWaiting(q.MaxWait) {
		return nil, false
	}
	w := &Waiter{table: t, service: service, priority: min(max(q.Priority, granitehoist.MinPriority), granitehoist.MaxPriority)}
	service.waiting[w.priority]++
	return w, true
}

// Close takes the request out again.
func (w *Waiter) Close() {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.service.waiting[w.priority]--
	w.table.wakeWaiting()
}

// waitingCount returns the number of requests that wait.
func (s *serviceState) waitingCount() int {
	count := 0
	for _, n := range s.waiting {
		count += n
	}
	return count
}

// mostWaiting decides how many requests may wait, for at most a time each: one, and what
// the deferred instances take together in that time, if it were all for this router. An
// instance that rests may take as many as it runs at once.
func (s *serviceState) mostWaiting(maxWait time.Duration) int {
	sum := 0.0
	for _, i := range s.instances {
		switch {
		case i.isLimited():
			sum += float64(i.limit.known.rate) * maxWait.Seconds()
		case !i.rest.IsOver():
			sum += float64(i.places())
		}
	}
	return 1 + int(math.Min(maxWaiting, sum))
}

// maxWaiting bounds the requests of one service that wait, whatever the limits are.
const maxWaiting = 1000

// isNext decides whether what a deferred instance takes is for a query while others wait.
func (s *serviceState) isNext(q *Query) bool {
	for p, n := range s.waiting {
		priority := granitehoist.Priority(p)
		if n > 0 && (priority > q.Priority || (priority == q.Priority && !q.Waiting)) {
			return false
		}
	}
	return true
}

// DeferredChanged returns a channel that is closed when waiting requests may find an
// instance that they did not find before.
func (t *Table) DeferredChanged() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deferredChanged
}

// wakeWaiting closes the channel of DeferredChanged. The caller holds mu.
func (t *Table) wakeWaiting() {
	close(t.deferredChanged)
	t.deferredChanged = make(chan struct{})
}

// wakeAsker makes whoever receives from PermitsWanted look again. The caller holds mu.
func (t *Table) wakeAsker() {
	select {
	case t.permitsWanted <- struct{}{}:
	default:
	}
}

// Deferral says that every instance that may be chosen is deferred, and for how long.
type Deferral struct {
	// Chance is the time until one of them may take a request, zero if it is not known.
	Chance time.Duration
	// Rest says that the first one then ends its rest.
	Rest bool
}

// DeferralOf returns what the error of Pick says of deferred instances, and false if it is
// another error.
func DeferralOf(err error) (Deferral, bool) {
	later, is := err.(*deferredError)
	if !is {
		return Deferral{}, false
	}
	return later.Deferral, true
}

// deferredError is Pick's error if all instances that may be chosen are deferred.
type deferredError struct {
	Deferral
	service granitehoist.Service
}

func (e *deferredError) Error() string {
	return "balance: the upstreams of service " + string(e.service) + " take no more requests now"
}

// deferral returns the error for a query whose candidates, at least one, are all deferred.
func deferral(service granitehoist.Service, deferred []*instanceState, now time.Time) error {
	return &deferredError{service: service, Deferral: soonest(deferred, now)}
}

// soonest returns the deferral of the one of the deferred instances, at least one, that may
// take a request first.
func soonest(deferred []*instanceState, now time.Time) Deferral {
	first := deferred[0].deferral(now)
	for _, s := range deferred[1:] {
		if d := s.deferral(now); d.Chance < first.Chance {
			first = d
		}
	}
	return first
}

// deferral returns for how long an instance is deferred.
func (s *instanceState) deferral(now time.Time) Deferral {
	rest := s.rest.Left(now)
	if !s.isLimited() {
		return Deferral{Chance: rest, Rest: rest > 0}
	}
	permit := s.limit.nextChance(now)
	return Deferral{Chance: max(rest, permit), Rest: rest > permit}
}
