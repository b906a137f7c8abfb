// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Verdict summarises the evidence against a request at one point in time. The zero value
// means that there is no evidence.
type Verdict struct {
	// Round is the highest round that is not cleared; zero if there is none.
	Round int
	// EarlyRound is the highest early round that is not cleared; zero if there is none.
	EarlyRound int
	// Crashes is the number of crashes under the request that are not cleared.
	Crashes int
	// Hold is the remaining time for which the request must not be sent, so that crashes with
	// a common cause form one round (SettleTime).
	Hold time.Duration
	// Refused says that the request must not be sent until BlockRemaining has passed.
	Refused        bool
	BlockRemaining time.Duration
}

// Refusal returns the error for a refused request. Its RetryAfter is the rest of the block,
// even beyond the caller's deadline, since an earlier attempt would be refused too.
func (v Verdict) Refusal() *granitehoist.Error {
	e := granitehoist.Errorf(granitehoist.CrashesUpstreams, "%d upstreams crashed in %d rounds, %d of them early", v.Crashes, v.Round, v.EarlyRound)
	e.RetryAfter = v.BlockRemaining
	return e
}

// HoldRefusal returns the error for a request whose deadline is before the end of its hold.
// Its RetryAfter is the rest of the hold.
func (v Verdict) HoldRefusal() *granitehoist.Error {
	e := granitehoist.Errorf(granitehoist.CrashesUpstreams, "%d upstreams crashed, the most recent one within the hold time", v.Crashes)
	e.RetryAfter = v.Hold
	return e
}

// verdict summarises the evidence at the given time.
func (e *entry) verdict(now time.Time) Verdict {
	v := Verdict{Round: e.round(), Crashes: e.unclearedCrashes()}
	v.EarlyRound = e.earlyRound()
	if v.Round > 0 {
		v.Hold = max(0, SettleTime-now.Sub(e.roundAt))
	}
	if now.Before(e.refusedUntil) {
		v.Refused, v.BlockRemaining = true, e.refusedUntil.Sub(now)
	}
	return v
}
