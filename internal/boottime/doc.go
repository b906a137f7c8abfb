// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package boottime provides a clock that also counts while the machine is suspended, and
// ends contexts whose deadline has passed by it.
//
// The steady clock by which Go measures durations stops while a machine is suspended, and
// so do timers and context deadlines. After the machine wakes, a request's deadline, a copy
// of the store or an idle connection then seems younger than it is. The time of day goes
// on, but jumps when it is set. A Clock therefore adds to the steady clock what
// CLOCK_BOOTTIME has counted beyond it.
//
// granitehoist-edge uses a Clock wherever a granitehoist.Clock is taken; 'granitehoist
// router' still measures by the steady clock. A Clock's times have no steady reading: they
// may be compared with each other only, not with time.Now, and must not be given to the
// operating system as a deadline.
//
// State: a Clock keeps atomically how long the machine was suspended; Deadlines keeps the
// open contexts under its own lock. Begin reading at Clock.Now.
package boottime
