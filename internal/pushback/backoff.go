// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package pushback

import "time"

const (
	// MaxBackoff bounds a requested backoff. A longer value is taken for an error of the
	// upstream, and shortened to MaxBackoff.
	MaxBackoff = 10 * time.Minute
	// initialProbes is the number of concurrent requests allowed right after a backoff.
	// Each accepted request multiplies it by probeGrowth.
	initialProbes = 1
	probeGrowth   = 2
)

// Backoff is the backoff that one upstream requested, and the recovery from it. In the zero
// value no backoff is in force. It is not safe for concurrent use.
//
// No request is admitted until the backoff ends. Then the number of concurrent requests
// starts at one and doubles with each accepted request up to the upstream's capacity, so
// that an upstream that is still overloaded rejects one request of each router instead of
// all waiting requests.
type Backoff struct {
	// until is the end of the backoff; zero once the upstream has recovered.
	until time.Time
	// maxProbes bounds the requests in flight that were sent after the backoff; probes
	// counts them.
	maxProbes, probes int
}

// Extend records that a response received at now requests a backoff of d, capped at
// MaxBackoff. It never moves the end of a backoff to an earlier time.
func (b *Backoff) Extend(d time.Duration, now time.Time) {
	if until := now.Add(min(d, MaxBackoff)); until.After(b.until) {
		b.until = until
	}
	b.maxProbes = initialProbes
}

// Inactive reports whether neither a backoff nor the recovery from one is in force.
func (b *Backoff) Inactive() bool { return b.until.IsZero() }

// Allows reports whether a request may be sent to the upstream now.
func (b *Backoff) Allows(now time.Time) bool {
	return b.Inactive() || (!now.Before(b.until) && b.probes < b.maxProbes)
}

// Remaining returns the time until the backoff ends, and zero after its end. During the
// recovery Allows may return false although Remaining is zero.
func (b *Backoff) Remaining(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }

// StartProbe counts a request that is sent during the recovery. Allows must have allowed the
// request. EndProbe must be called once for each StartProbe.
func (b *Backoff) StartProbe() { b.probes++ }

// EndProbe ends a request counted by StartProbe, whether the upstream accepted or rejected
// it or the outcome is unknown.
func (b *Backoff) EndProbe() { b.probes-- }

// Accepted records that the upstream accepted a request sent at the given time; requests
// sent before the end of the backoff are ignored. capacity is the number of requests that
// the upstream runs concurrently, above which the recovery is complete.
func (b *Backoff) Accepted(sent time.Time, capacity int) {
	if b.Inactive() || sent.Before(b.until) {
		return
	}
	b.maxProbes *= probeGrowth
	if b.maxProbes > capacity {
		b.until, b.maxProbes = time.Time{}, 0
	}
}

// Rejected records that the upstream rejected a request without requesting a new backoff.
// It restarts a recovery in progress with initialProbes.
func (b *Backoff) Rejected() { b.maxProbes = min(b.maxProbes, initialProbes) }
