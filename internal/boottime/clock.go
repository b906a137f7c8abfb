// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boottime

import (
	"math"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the shortest suspension that is detected, and the smallest drift of
	// the wall clock that triggers a check. It exceeds the error of reading two clocks one
	// after the other, and is below the router's shortest timeout (forward's minRetryTime).
	minSuspension = 5 * time.Millisecond
	// checkInterval is how often the Clock checks for a suspension without a drift of the
	// wall clock, which happens if the wall clock is set back by the length of the
	// suspension.
	checkInterval = time.Second
)

// Clock is a clock that includes the time the machine was suspended. It is created by
// New and safe for concurrent use.
type Clock struct {
	system system
	// start and startBoot are the wall time and the time since boot at which the
	// monotonic time of system.now is zero.
	start     time.Time
	startBoot time.Duration
	// started is the time since boot that New read.
	started time.Duration

	state atomic.Pointer[state]
	// checking serialises checks for a suspension.
	checking sync.Mutex
}

// system reads the system's clocks.
type system struct {
	// now returns the wall time, without a monotonic reading, and the monotonic time
	// since an arbitrary start, both read at the same moment.
	now func() (wall time.Time, monotonic time.Duration)
	// boot returns the time since the machine booted, suspensions included.
	boot func() (time.Duration, error)
}

// state is the result of the last check for a suspension. It is immutable.
type state struct {
	// suspended is the total time the machine was suspended since Clock.start.
	suspended time.Duration
	// drift is the drift of the wall clock against the monotonic clock, and checkedAt the
	// monotonic time, both at that check.
	drift, checkedAt time.Duration
}

// New returns a Clock that starts at the current wall time. It returns an error if the
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

// newClock returns a Clock that reads the given system's clocks.
func newClock(system system) (*Clock, error) {
	boot, err := system.boot()
	if err != nil {
		return nil, eris.Wrap(err, "boottime: CLOCK_BOOTTIME")
	}
	wall, monotonic := system.now()
	c := &Clock{system: system, start: wall.Add(-monotonic), startBoot: boot - monotonic, started: boot}
	c.state.Store(&state{})
	return c, nil
}

// readBoottime returns the time since the machine booted.
func readBoottime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the current time. It never goes back, and does not jump when the wall
// clock is set. To save the system call, it reads CLOCK_BOOTTIME only if the wall clock
// has drifted against the monotonic clock by minSuspension or more since the last check,
// as it does during a suspension, or if the last check is checkInterval ago.
func (c *Clock) Now() time.Time {
	wall, monotonic := c.system.now()
	drift := wall.Sub(c.start) - monotonic
	s := c.state.Load()
	if (drift-s.drift).Abs() >= minSuspension || monotonic-s.checkedAt >= checkInterval {
		s = c.check(monotonic, drift)
	}
	return c.start.Add(monotonic + s.suspended)
}

// check looks for a suspension. The monotonic clock is read again after CLOCK_BOOTTIME,
// so that a delay between the two readings is not mistaken for a suspension.
func (c *Clock) check(monotonic, drift time.Duration) *state {
	c.checking.Lock()
	defer c.checking.Unlock()
	found := *c.state.Load()
	boot, err := c.system.boot()
	_, after := c.system.now()
	// If CLOCK_BOOTTIME can't be read, the last known suspension time stays and the next
	// check tries again.
	if suspended := boot - c.startBoot - after; err == nil && suspended >= found.suspended+minSuspension {
		found.suspended = suspended
	}
	found.drift, found.checkedAt = drift, monotonic
	c.state.Store(&found)
	return &found
}

// SinceBoot returns the time since boot at a result of Now. It may return less, never more.
func (c *Clock) SinceBoot(now time.Time) time.Duration { return c.startBoot + now.Sub(c.start) }

// Started returns the time since boot when the Clock was created.
func (c *Clock) Started() time.Duration { return c.started }

// bootIDFile holds the kernel's id of the boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the kernel's id of the machine's boot.
func BootID() (string, error) {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "", eris.Wrap(err, "boottime: id of the boot")
	}
	return strings.TrimSpace(string(raw)), nil
}

// bootTimeReadings is the number of readings of BootTime. One that is interrupted is less exact.
const bootTimeReadings = 5

// BootTime returns the time of day at which the machine booted, as its clock shows it now.
func BootTime() (time.Time, error) {
	var best time.Time
	shortest := time.Duration(math.MaxInt64)
	for range bootTimeReadings {
		before, err := readBoottime()
		if err != nil {
			return time.Time{}, eris.Wrap(err, "boottime: CLOCK_BOOTTIME")
		}
		wall := time.Now().Round(0)
		after, err := readBoottime()
		if err != nil {
			return time.Time{}, eris.Wrap(err, "boottime: CLOCK_BOOTTIME")
		}
		if took := after - before; took < shortest {
			best, shortest = wall.Add(-before-took/2), took
		}
	}
	return best, nil
}
