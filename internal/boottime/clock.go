// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// noticed is the shortest suspension that counts, and the smallest jump of the time of
	// day that makes the Clock look for one. It is above the difference of two clocks that
	// are read in turn, and below the shortest timeout of the router (20 ms, forward's
	// minRetryTime).
	noticed = 5 * time.Millisecond
	// lookAgain is how often the Clock looks for a suspension that the time of day hides,
	// because it was set back by the same amount.
	lookAgain = time.Second
)

// Clock tells the time, suspensions included. New returns one that works. It is safe for
// concurrent use.
type Clock struct {
	system system
	// begin is the time of day at the start, startBoot the reading of boot then.
	begin     time.Time
	startBoot time.Duration

	state atomic.Pointer[state]
	// looking lets one goroutine look for a suspension at a time.
	looking sync.Mutex
}

// system reads the system's clocks.
type system struct {
	// now returns the time of day, without a reading of the steady clock, and the
	// steady time since the start, both of one moment.
	now func() (day time.Time, steady time.Duration)
	// boot returns the time since the machine was started, suspensions included.
	boot func() (time.Duration, error)
}

// state is what a Clock found when it last looked for a suspension. It does not change.
type state struct {
	// suspended is how long the machine was suspended since the start.
	suspended time.Duration
	// drift is how far the time of day had moved against the steady clock, and looked
	// the steady time then.
	drift, looked time.Duration
}

// New returns a Clock that begins at the present time of day. The error says that the
// system has no CLOCK_BOOTTIME.
func New() (*Clock, error) {
	start := time.Now()
	return newClock(system{
		now: func() (time.Time, time.Duration) {
			now := time.Now()
			return now.Round(0), now.Sub(start)
		},
		boot: readBoottime,
	})
}

// newClock is New for the clocks of any system.
func newClock(system system) (*Clock, error) {
	boot, err := system.boot()
	if err != nil {
		return nil, eris.Wrap(err, "boottime: CLOCK_BOOTTIME")
	}
	day, steady := system.now()
	c := &Clock{system: system, begin: day.Add(-steady), startBoot: boot - steady}
	c.state.Store(&state{})
	return c, nil
}

// readBoottime returns the time since the machine was started.
func readBoottime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the present time. It never goes back, and does not jump when the time of
// day is set. A suspension moves the time of day against the steady clock, which shows
// in one reading of the system's clock; only then, and each lookAgain, CLOCK_BOOTTIME is
// read too, which costs a call to the system.
func (c *Clock) Now() time.Time {
	day, steady := c.system.now()
	drift := day.Sub(c.begin) - steady
	s := c.state.Load()
	if (drift-s.drift).Abs() >= noticed || steady-s.looked >= lookAgain {
		s = c.look(steady, drift)
	}
	return c.begin.Add(steady + s.suspended)
}

// look looks for a suspension. The steady clock is read again after CLOCK_BOOTTIME, so
// that a delay between the two readings is not mistaken for a suspension.
func (c *Clock) look(steady, drift time.Duration) *state {
	c.looking.Lock()
	defer c.looking.Unlock()
	found := *c.state.Load()
	boot, err := c.system.boot()
	_, after := c.system.now()
	// CLOCK_BOOTTIME could be read at the start. If it fails now, what was found so far
	// stays, and the next look tries again.
	if suspended := boot - c.startBoot - after; err == nil && suspended >= found.suspended+noticed {
		found.suspended = suspended
	}
	found.drift, found.looked = drift, steady
	c.state.Store(&found)
	return &found
}
