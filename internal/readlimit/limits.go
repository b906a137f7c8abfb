// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import "time"

// Limits bound a part of a message that is read from a Conn. The zero value has no bound.
type Limits struct {
	Part Part
	// MaxBytes is the maximum number of bytes; zero means no bound.
	MaxBytes int64
	// MaxTime is the maximum time from the first byte of the part to its end; zero means no
	// bound.
	MaxTime time.Duration
	// LeadBytes is the number of bytes before the one from which MaxTime runs. They may end
	// what was sent before the part.
	LeadBytes int64
	// FromBegin says that MaxTime runs from Begin and not from the first byte.
	FromBegin bool
	// Trickle ends a part that arrives in many pieces of a few bytes each. Silence is no
	// trickle, however long it is.
	Trickle bool
	// Kept says that the reader keeps the bytes, so that they count in the Memory of the
	// Conn.
	Kept bool
}

const (
	// trickleWindow is the time over which the rate of a part is measured.
	trickleWindow = 5 * time.Second
	// minTrickleReads is the number of reads within a window that make a trickle, if they
	// brought fewer than minWindowBytes together.
	minTrickleReads = 4
	minWindowBytes  = 320
	// maxLateness is how late a deadline is noticed by a process that runs. After more than
	// that the process was suspended, and the peer's bytes may have waited for it.
	maxLateness = 250 * time.Millisecond
)

// window is what was read of a part since its deadline was set.
type window struct {
	// deadline is when the window ends; zero if no deadline is set.
	deadline time.Time
	reads    int
	bytes    int64
}

// period returns the time from the first byte of a part to its first deadline; zero if it
// has none. spent is the time that the part has taken before.
func (l *Limits) period(spent time.Duration) time.Duration {
	switch {
	case l.MaxTime > 0:
		return max(0, l.MaxTime-spent)
	case l.Trickle:
		return trickleWindow
	}
	return 0
}

// afterDeadline decides what follows a deadline that was noticed at now: an empty Bound if
// the part may go on, and the bound that it exceeds otherwise.
func (l *Limits) afterDeadline(w window, now time.Time) Bound {
	switch {
	case now.Sub(w.deadline) > maxLateness:
		return ""
	case l.MaxTime > 0:
		return Time
	case l.Trickle && w.reads >= minTrickleReads && w.bytes < minWindowBytes:
		return Rate
	}
	return ""
}
