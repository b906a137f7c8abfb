// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package pushback

import "time"

const (
	// MaxRest bounds what is believed. An upstream that means to be left alone for longer
	// is taken out by its owners; one that names more has made a mistake, which the first
	// request after it shows.
	MaxRest = 10 * time.Minute
	// firstTrials is how many requests may be under way at an upstream after its rest,
	// and trialGrowth times as many after each one that it took.
	firstTrials = 1
	trialGrowth = 2
)

// Rest is what an upstream has asked a router for. The zero value has asked for nothing.
//
// Until its end the upstream gets nothing. Then it gets one request at a time, and with each
// one that it takes twice as many, until it has room for all: if it still turns requests
// away, one caller of each router finds that out and not all that waited for it.
type Rest struct {
	// until is when that ends; zero once the upstream has recovered.
	until time.Time
	// trials bounds the requests sent since then that it has neither taken nor turned
	// away, and trying counts them.
	trials, trying int
}

// Ask takes what an answer that arrived now asked for. Of several rests the latest end
// holds: nothing shortens one.
func (r *Rest) Ask(d time.Duration, now time.Time) {
	if until := now.Add(min(d, MaxRest)); until.After(r.until) {
		r.until = until
	}
	r.trials = firstTrials
}

// IsOver reports whether the upstream has asked for nothing, or has recovered since.
func (r *Rest) IsOver() bool { return r.until.IsZero() }

// Admits decides whether the upstream may get a request now.
func (r *Rest) Admits(now time.Time) bool {
	return r.IsOver() || (!now.Before(r.until) && r.trying < r.trials)
}

// Left returns the time until the upstream may get a request; zero if only an answer to one
// that is under way can tell.
func (r *Rest) Left(now time.Time) time.Duration { return max(0, r.until.Sub(now)) }

// Try counts a request that is sent while the rest is not over, as Admits allows. EndTry is
// called on it once.
func (r *Rest) Try() { r.trying++ }

// EndTry takes that the upstream has taken a request of Try, has turned it away, or that
// neither will be known.
func (r *Rest) EndTry() { r.trying-- }

// Took takes that the upstream took a request that was sent at sent. One that was sent
// before the end of its rest says nothing of the time after it. places is how many requests
// it runs at once.
func (r *Rest) Took(sent time.Time, places int) {
	if r.IsOver() || sent.Before(r.until) {
		return
	}
	r.trials *= trialGrowth
	if r.trials > places {
		r.until, r.trials = time.Time{}, 0
	}
}

// Refused takes that the upstream turned a request away without asking for rest again.
func (r *Rest) Refused() { r.trials = min(r.trials, firstTrials) }
