// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// DefaultTimeout is the timeout of a call to a store that responds.
	DefaultTimeout = 1500 * time.Millisecond
	// probeTimeout is the timeout of a call to an unresponsive store. It is short because a
	// call sent before the store recovers waits for its whole timeout. Together with
	// maxBackoff it lets a router notice the end of an outage after 0.3 s instead of 1.2 s.
	probeTimeout = 400 * time.Millisecond
	// fullTimeoutEvery is the number of failed attempts in a row after which one gets
	// the full timeout again, since the store may only be slow.
	fullTimeoutEvery = 4
	// initialBackoff is the first delay after a failed sync.
	initialBackoff = 150 * time.Millisecond
	// maxBackoff is the longest delay after a failed sync.
	maxBackoff = 300 * time.Millisecond
)

// callTimeout returns how long the calls of a sync may take. failures counts the syncs
// that failed in a row; reached is set once the store has responded with a record.
//
//   - The first sync of a router takes up to probeTimeout, to find out soon whether the
//     store is unresponsive.
//   - While the store responds, a sync may take the time full.
//   - After failures, a sync may take the time full if failures is a multiple of
//     fullTimeoutEvery, and probeTimeout otherwise.
//
// The result is never longer than full.
func callTimeout(failures int, reached bool, full time.Duration) time.Duration {
	firstCall := failures == 0 && !reached
	if failures%fullTimeoutEvery == 0 && !firstCall {
		return full
	}
	return min(probeTimeout, full)
}

// nextBackoff returns the backoff after one more failed sync.
func nextBackoff(pause time.Duration) time.Duration { return min(2*pause, maxBackoff) }
