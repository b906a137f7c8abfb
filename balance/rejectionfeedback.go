// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// This file applies what responses and events say of the rejections of their instance.

// RejectionEvent reports what this router learned from a response about the rejections of
// an instance.
type RejectionEvent struct {
	Instance
	// Limit is the number of requests a second that the instance can reject, zero if it
	// states none. Changed reports that it stated another one before.
	Limit   int
	Changed bool
	// Rejecting reports that the instance began to reject requests and that the other
	// routers should know.
	Rejecting bool
}

// observeRejections applies what a response says of the rejections of its instance.
func (l *Lease) observeRejections(f Feedback, now time.Time) {
	t := l.table
	t.mu.Lock()
	r := &l.state.rejections
	before, scarce := r.limit, l.use.scarce && r.rejectingFor(now) < rejectionMemory/2
	r.state(f, l.picked, now)
	t.hasRejectionLimits = t.hasRejectionLimits || r.limit > 0
	event := RejectionEvent{Instance: l.Instance, Limit: r.limit, Changed: r.limit != before, Rejecting: f.Rejected && scarce}
	if before > 0 && r.limit == 0 {
		l.service.endRejectionLimits(l.picked)
	}
	if event.Rejecting || (r.limit > 0 && (event.Changed || r.version == 0)) {
		t.updateVersion++
		r.version = t.updateVersion
	}
	if r.settle(l, f, now) {
		t.wakeWaiters()
	}
	t.mu.Unlock()
	if (event.Changed || event.Rejecting) && t.settings.OnRejections != nil {
		t.settings.OnRejections(event)
	}
}

// state applies the limit that a response to a request sent at sent states. A response
// without one ends the limit, unless the request was sent before the limit was stated.
func (r *rejections) state(f Feedback, sent, now time.Time) {
	r.answered = true
	switch {
	case f.RejectionLimit > 0:
		r.limit, r.statedAt = f.RejectionLimit, now
	case f.Rate.FromInstance && sent.After(r.statedAt):
		r.limit, r.version = 0, 0
	}
}

// settle applies the outcome of a request according to its response, and reports whether it
// confirmed any request.
func (r *rejections) settle(l *Lease, f Feedback, now time.Time) bool {
	heard := r.hear(now)
	if !f.Rejected {
		return r.confirm(l) || heard
	}
	r.confirm(l)
	r.reject(now)
	return heard
}

// hearEvents confirms requests by an event of a stream. The caller holds the table's lock.
func (l *Lease) hearEvents(now time.Time) {
	r := &l.state.rejections
	if len(r.unconfirmed) == 0 {
		return
	}
	heard := r.hear(now)
	if r.confirm(l) || heard {
		l.table.wakeWaiters()
	}
}

// endUnconfirmed ends the count of a request without a response. The instance may have
// rejected it. The caller holds the table's lock.
func (l *Lease) endUnconfirmed(now time.Time) {
	if l.state.rejections.confirm(l) {
		l.state.rejections.reject(now)
	}
}
