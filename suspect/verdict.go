// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Verdict sums up the evidence against a request at one moment. The zero value means
// that there is none.
type Verdict struct {
	// Round is the highest round of crashes; zero if there is no evidence.
	Round int
	// Early is the highest round of early crashes.
	Early int
	// Crashes is the number of upstreams that crashed under the request.
	Crashes int
	// Hold is how long the request must not be sent yet, since what made upstreams crash
	// may be under way.
	Hold time.Duration
	// Refused says that the request must not be sent, for another Left.
	Refused bool
	Left    time.Duration
}

// Refusal returns the error for a request that the verdict refuses. Its RetryAfter is the
// rest of the block even where a caller can't wait for it: an earlier attempt would be
// refused too.
func (v Verdict) Refusal() *granitehoist.Error {
	e := granitehoist.Errorf(granitehoist.CrashesUpstreams, "%d upstreams crashed in %d rounds, %d of them early", v.Crashes, v.Round, v.Early)
	e.RetryAfter = v.Left
	return e
}

// HoldRefusal returns the error for a request that is held for longer than it can wait. Its
// RetryAfter is the rest of the hold.
func (v Verdict) HoldRefusal() *granitehoist.Error {
	e := granitehoist.Errorf(granitehoist.CrashesUpstreams, "%d upstreams crashed, the last a moment ago", v.Crashes)
	e.RetryAfter = v.Hold
	return e
}

// verdict sums up the evidence now.
func (e *entry) verdict(now time.Time) Verdict {
	v := Verdict{Round: e.round(), Crashes: e.openCrashes()}
	v.Early, _ = e.earlyRound()
	if v.Round > 0 {
		v.Hold = max(0, SettleTime-now.Sub(e.roundAt))
	}
	if now.Before(e.refusedUntil) {
		v.Refused, v.Left = true, e.refusedUntil.Sub(now)
	}
	return v
}
