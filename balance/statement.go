// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

// Statement is what one answer says of its instance, whatever becomes of the request. The
// zero value says nothing.
type Statement struct {
	// Rate is what it says of the rate that the instance takes.
	Rate RateStatement
	// Leaving says that the instance is about to end and wants no further request.
	Leaving bool
	// Rest is for how long the instance wants no request of this router; zero if it does
	// not say.
	Rest time.Duration
	// Taken says that the instance took the request on.
	Taken bool
}

// Note records what an answer of the instance says of it. An answer of another instance
// that has its address says nothing of it. Most answers say nothing: they cost no lock.
func (l *Lease) Note(said Statement, now time.Time) {
	if l.learnsRate(said.Rate) {
		l.noteRate(said.Rate, now)
	}
	if said.Leaving {
		l.noteLeaving(now)
	}
	if said.Rest > 0 {
		l.noteRest(said.Rest, now)
	}
	if said.Taken && l.trial {
		l.noteTaken()
	}
}
