// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package boottime tells a time that also counts while the machine is suspended, and
// ends what is due by it.
//
// The steady clock that Go measures durations with stands still while a machine is
// suspended, and so do timers and the deadlines of contexts. Whoever measures by it
// takes a caller's time, a copy of the store or an idle connection for younger than
// it is after the machine wakes. The time of day runs on, but jumps when it is set.
// A Clock takes neither for granted: it adds to the steady clock what CLOCK_BOOTTIME
// has counted beyond it.
//
// Both programs use a Clock wherever they take a granitehoist.Clock. Its times have no
// reading of the steady clock: they must be compared with each other only, and not
// with time.Now, or given to the operating system as a deadline.
//
// State: a Clock keeps how long the machine was suspended, atomically; Deadlines keeps
// what is due, under its own lock. Begin reading at Clock.Now.
package boottime
