// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// An instance that rejects a request may ask this router to back off for some time
// (Retry-After, package pushback). The instance is deferred for all requests until that
// time has passed. Then the number of concurrent requests, called probes, grows from one
// with each accepted request until it exceeds the capacity.

// defaultConcurrency is the capacity assumed for an instance that announces none.
const defaultConcurrency = 16

// concurrency returns the number of requests that the instance runs at once.
func (i *Instance) concurrency() int {
	if i.Capacity <= 0 {
		return defaultConcurrency
	}
	return i.Capacity
}

// BackoffEvent reports that an instance asked this router to back off.
type BackoffEvent struct {
	Instance
	// Requested is the requested backoff, Remaining the time until the backoff ends.
	Requested, Remaining time.Duration
}

// recordBackoff records the backoff requested by a response of the instance.
func (l *Lease) recordBackoff(requested time.Duration, now time.Time) {
	t := l.table
	t.mu.Lock()
	l.state.backoff.Extend(requested, now)
	event := BackoffEvent{Instance: l.Instance, Requested: requested, Remaining: l.state.backoff.Remaining(now)}
	t.wakeWaiters()
	t.mu.Unlock()
	if t.settings.OnBackoff != nil {
		t.settings.OnBackoff(event)
	}
}

// recordAccepted records that the instance accepted the request. It is called for the
// header of a successful response, long before a stream ends.
func (l *Lease) recordAccepted() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.endProbe() {
		l.state.backoff.Accepted(l.picked, l.concurrency())
		l.table.wakeWaiters()
	}
}

// endProbe ends the lease's probe after a backoff, and reports whether one was open. The
// caller holds the table's lock.
func (l *Lease) endProbe() bool {
	if !l.isProbe {
		return false
	}
	l.isProbe = false
	l.state.backoff.EndProbe()
	return true
}

// endProbeWithResult ends the lease's probe, if one is open, with the result of the
// attempt. The caller holds the table's lock.
func (l *Lease) endProbeWithResult(r Result) {
	if !l.endProbe() {
		return
	}
	switch r {
	case Succeeded, Failed:
		l.state.backoff.Accepted(l.picked, l.concurrency())
	case Refused:
		l.state.backoff.Rejected()
	case Broken, Excessive, Inconclusive, Misdirected:
	}
}
