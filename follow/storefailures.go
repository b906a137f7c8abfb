// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import "time"

const (
	// DefaultPause limits a router whose store fails to a few calls a second.
	DefaultPause = 250 * time.Millisecond
	// defaultMaxPauseFactor is the default of Settings.MaxPause in multiples of Pause.
	// Commit 5f4c091 lowered it from 4 and added probeWait: in a trial routers
	// noticed the end of an outage 1.2 s late before and 0.3 s late after.
	defaultMaxPauseFactor = 2
	// probeWait bounds the watches of a store that failed: a watch that is in
	// progress when the store returns gets no answer before its wait has passed. For
	// the measurement see defaultMaxPauseFactor.
	probeWait = 100 * time.Millisecond
	// firstListTimeout bounds the first list. With the 1.5 s of other calls, routers
	// that started during an outage refused 339 requests as not ready in 2 s (commit
	// d92b98f). The trials there ran with 0.5 s and did not change the score beyond
	// the noise; 0.8 s is chosen, not measured.
	firstListTimeout = 800 * time.Millisecond
	// fullTimeEvery makes every so many-th call to a store that failed run with its full
	// time, since the store may only be slow.
	fullTimeEvery = 4
)

// storeState is what a step says about the store.
type storeState int

const (
	// storeAsBefore says that the store still answers, or still fails.
	storeAsBefore storeState = iota
	// storeLost says that this is the first step that failed.
	storeLost
	// storeRegained says that this is the first step that succeeded after one that
	// failed.
	storeRegained
)

// storeFailures counts the steps in a row that failed. The store counts as
// failing from the first one on, until a step succeeds, with an answer of the store
// or of a relay. The zero value works. It is not safe for concurrent
// use.
type storeFailures struct {
	count int
}

// note counts a step, which failed with err or succeeded.
func (f *storeFailures) note(err error) storeState {
	failing := f.count > 0
	if err != nil {
		f.count++
	} else {
		f.count = 0
	}
	switch {
	case err != nil && !failing:
		return storeLost
	case err == nil && failing:
		return storeRegained
	}
	return storeAsBefore
}

// pause returns the time before the next step: first after the first failure,
// then twice as long each time, up to longest.
func (f *storeFailures) pause(first, longest time.Duration) time.Duration {
	pause := first
	for i := 1; i < f.count && pause < longest; i++ {
		pause = min(2*pause, longest)
	}
	return pause
}

// watchWait returns how long the next watch may wait at the store; zero is as
// long as the store's client allows. While the store fails, a watch probes it
// with a short wait, except that every fullTimeEvery-th has its full time. A
// router that is a relay waits for less than maxRelayAge.
func (f *storeFailures) watchWait(isRelay bool) time.Duration {
	switch {
	case f.count%fullTimeEvery != 0:
		return probeWait
	case isRelay:
		return relayWatchWait
	}
	return 0
}

// listTimeout returns the bound of the first list; zero is the bound of the
// store's client. A router that starts does not know whether the store answers,
// so the bound is short from the first list on, except that every
// fullTimeEvery-th has its full time.
func (f *storeFailures) listTimeout() time.Duration {
	if f.count%fullTimeEvery == fullTimeEvery-1 {
		return 0
	}
	return firstListTimeout
}
