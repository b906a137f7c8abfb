// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "time"

const (
	// DefaultTimeout bounds a call to a store that answers.
	DefaultTimeout = 1500 * time.Millisecond
	// probeTimeout bounds the calls to a store that is silent: a call that is sent
	// before the store returns waits for its whole timeout. Measured with
	// maxFailurePause (5f4c091): the end of an outage was noticed after 0.3 s in
	// place of 1.2 s.
	probeTimeout = 400 * time.Millisecond
	// fullTimeoutEvery is after how many failed tries in a row one gets the full timeout
	// again, since the store may only be slow.
	fullTimeoutEvery = 4
	// failurePause is the first pause after a failed sync.
	failurePause = 150 * time.Millisecond
	// maxFailurePause bounds the pause while the store fails for long. Measured with
	// probeTimeout (5f4c091); it was 0.9 s before.
	maxFailurePause = 300 * time.Millisecond
)

// callTimeout decides how long the calls of a sync may take, at most full: the
// full time while the store answers, and for every fullTimeoutEvery-th try while
// it is silent; a probe otherwise. failures counts the syncs that failed in a
// row, reached is false until the store has answered with a record. A router that
// starts probes first, to find out soon if the store is silent.
func callTimeout(failures int, reached bool, full time.Duration) time.Duration {
	starts := failures == 0 && !reached
	if failures%fullTimeoutEvery == 0 && !starts {
		return full
	}
	return min(probeTimeout, full)
}

// longerPause returns the pause after one more failed sync.
func longerPause(pause time.Duration) time.Duration { return min(2*pause, maxFailurePause) }
