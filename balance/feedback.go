// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// Feedback is the information in one response about its instance, independent of the
// outcome of the request. The zero value carries no information.
type Feedback struct {
	// Rate is the information about the rate limit of the instance.
	Rate RateFeedback
	// Leaving reports that the instance is about to end and accepts no further requests.
	Leaving bool
	// Backoff is the backoff requested from this router; zero if none.
	Backoff time.Duration
	// Accepted reports that the instance accepted the request.
	Accepted bool
	// Rejected reports that the instance rejected the request for lack of capacity.
	Rejected bool
	// RejectionLimit is the number of requests a second that the instance can reject for
	// lack of capacity; it crashes if it has to reject more. Zero means that the response
	// states none.
	RejectionLimit int
}

// Observe records the information in a response of the instance. It must not be called
// for a response of another instance that has taken over the address. Most responses carry
// no information and need no lock.
func (l *Lease) Observe(f Feedback, now time.Time) {
	if l.mayChangeLimit(f.Rate) {
		l.recordRate(f.Rate, now)
	}
	if f.Leaving {
		l.recordLeaving(now)
	}
	if f.Backoff > 0 {
		l.recordBackoff(f.Backoff, now)
	}
	if f.RejectionLimit > 0 || l.use.limited {
		l.observeRejections(f, now)
	}
	if f.Accepted && l.isProbe {
		l.recordAccepted()
	}
}
