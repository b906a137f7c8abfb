// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import "time"

const (
	// DefaultRetryDelay is the default of Settings.RetryDelay. It limits a router to a few
	// calls a second while the store fails.
	DefaultRetryDelay = 250 * time.Millisecond
	// defaultMaxRetryDelayFactor is the default of Settings.MaxRetryDelay as a multiple of
	// RetryDelay. It is small, so that the recovery of the store is detected soon. At 4,
	// and without probeWatchTimeout, routers noticed the end of an outage 1.2 s late
	// instead of 0.3 s.
	defaultMaxRetryDelayFactor = 2
	// probeWatchTimeout is the timeout of watches while the store fails. A watch that
	// began before the store recovered gets no response, so a longer timeout would delay
	// the detection of the recovery.
	probeWatchTimeout = 100 * time.Millisecond
	// firstListTimeout is the timeout of the first list. It is short because a router is
	// not ready before it has a copy: if the store does not respond, the neighbours are
	// queried next. With 1.5 s, routers that started during an outage refused 339 requests
	// as not ready in 2 s.
	firstListTimeout = 800 * time.Millisecond
	// fullTimeoutEvery is the interval, in consecutive failed steps, at which a call gets its
	// full timeout, since the store may only be slow.
	fullTimeoutEvery = 4
)

// storeTransition is the change in the availability of the store that a step shows.
type storeTransition int

const (
	// storeUnchanged means that the store still responds, or still fails.
	storeUnchanged storeTransition = iota
	// storeLost means that this is the first step that failed.
	storeLost
	// storeRegained means that this is the first step that succeeded after a failure.
	storeRegained
)

// storeFailures counts consecutive failed steps. The store counts as failing from the first
// failed step until a step succeeds, whether with the store or with a relay. The zero value
// is ready to use. It is not safe for concurrent use.
type storeFailures struct {
	consecutive int
}

// record counts a step that returned err and returns the transition that it causes.
func (f *storeFailures) record(err error) storeTransition {
	failing := f.consecutive > 0
	if err != nil {
		f.consecutive++
	} else {
		f.consecutive = 0
	}
	switch {
	case err != nil && !failing:
		return storeLost
	case err == nil && failing:
		return storeRegained
	}
	return storeUnchanged
}

// retryDelay returns the delay before the next step. It is first after one failure and
// doubles with each consecutive failure up to longest.
func (f *storeFailures) retryDelay(first, longest time.Duration) time.Duration {
	delay := first
	for i := 1; i < f.consecutive && delay < longest; i++ {
		delay = min(2*delay, longest)
	}
	return delay
}

// watchWait returns the wait of the next watch, which begins at an age of the copy:
//
//   - probeWatchTimeout while the store fails, except after every fullTimeoutEvery-th
//     consecutive failure;
//   - otherwise, at a relay, until the copy has the age relayWatchAge;
//   - otherwise until it has the age maxWatchAge of the contact time.
//
// After failures the copy is old, and the whole of either age is waited.
func (f *storeFailures) watchWait(age, contact time.Duration, isRelay bool) time.Duration {
	if f.consecutive%fullTimeoutEvery != 0 {
		return probeWatchTimeout
	}
	end := maxWatchAge(contact)
	if isRelay && (end == 0 || relayWatchAge < end) {
		end = relayWatchAge
	}
	if f.consecutive > 0 {
		return end
	}
	return watchWait(age, end)
}

// listTimeout returns the timeout of the first list. It is firstListTimeout, even before the
// first failure, since a router that starts does not know whether the store responds. For
// every fullTimeoutEvery-th consecutive attempt it is zero, which means the timeout of the
// store's client.
func (f *storeFailures) listTimeout() time.Duration {
	if f.consecutive%fullTimeoutEvery == fullTimeoutEvery-1 {
		return 0
	}
	return firstListTimeout
}
