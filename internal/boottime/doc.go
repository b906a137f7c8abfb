// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package boottime provides a clock that also counts while the machine is suspended, and
// cancels contexts whose deadline has passed by it.
//
// Go's monotonic clock, timers and context deadlines stop while a machine is suspended.
// After it resumes, request deadlines, copies of the store and idle connections would
// seem younger than they are. The wall clock goes on, but jumps when it is set. A Clock
// therefore adds to the monotonic clock what CLOCK_BOOTTIME has counted beyond it.
//
// granitehoist-edge uses a Clock wherever a granitehoist.Clock is expected; 'granitehoist
// router' uses the monotonic clock. A Clock's times have no monotonic reading: they may be
// compared only with each other, not with time.Now, and must not be passed to the
// operating system as a deadline.
//
// A Clock holds the total suspension time in an atomic pointer; Deadlines holds the
// pending contexts under its own lock. Begin reading at Clock.Now.
package boottime
