// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// A request whose service has only instances that name a limit waits for a permit. The
// more urgent ones go first: a permit is for no request while a more urgent one waits for
// the same service, and for none that has just come while another of its urgency waits. No
// more wait than the limits together let through in the time that one waits.

// Waiter is a request that waits for a permit. Close must be called on it once.
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
// the instances with a limit take together in that time, if it were all for this router.
func (s *serviceState) mostWaiting(maxWait time.Duration) int {
	sum := Rate(0)
	for _, i := range s.instances {
		if i.isLimited() {
			sum += i.limit.known.rate
		}
	}
	return 1 + int(math.Min(maxWaiting, float64(sum)*maxWait.Seconds()))
}

// maxWaiting bounds the requests of one service that wait, whatever the limits are.
// Chosen, not measured.
const maxWaiting = 1000

// mayUsePermit decides whether a query may use a permit while others wait.
func (s *serviceState) mayUsePermit(q *Query) bool {
	for p, n := range s.waiting {
		priority := granitehoist.Priority(p)
		if n > 0 && (priority > q.Priority || (priority == q.Priority && !q.Waiting)) {
			return false
		}
	}
	return true
}

// PermitsChanged returns a channel that is closed when waiting requests may find a permit
// that they did not find before.
func (t *Table) PermitsChanged() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.permitsChanged
}

// wakeWaiting closes the channel of PermitsChanged. The caller holds mu.
func (t *Table) wakeWaiting() {
	close(t.permitsChanged)
	t.permitsChanged = make(chan struct{})
}

// wakeAsker makes whoever receives from PermitsWanted look again. The caller holds mu.
func (t *Table) wakeAsker() {
	select {
	case t.permitsWanted <- struct{}{}:
	default:
	}
}

// NeedsPermit returns the time until a permit may be had, if err is the error with which
// Pick found only instances that name a limit, and false for any other error.
func NeedsPermit(err error) (time.Duration, bool) {
	lacking, is := err.(*lacksPermitError)
	if !is {
		return 0, false
	}
	return lacking.chance, true
}

// lacksPermitError is Pick's error if all instances that may be chosen lack a permit.
type lacksPermitError struct {
	service granitehoist.Service
	// chance is the time until one of them may get a permit.
	chance time.Duration
}

func (e *lacksPermitError) Error() string {
	return "balance: the upstreams of service " + string(e.service) + " take no more requests now"
}

// lacksPermit returns the error for a query whose candidates, at least one, all lack a
// permit.
func lacksPermit(service granitehoist.Service, limited []*instanceState, now time.Time) error {
	chance := limited[0].limit.nextChance(now)
	for _, s := range limited[1:] {
		chance = min(chance, s.limit.nextChance(now))
	}
	return &lacksPermitError{service: service, chance: chance}
}
