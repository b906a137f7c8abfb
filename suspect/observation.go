// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"slices"
	"time"
)

// Observation describes a crash under a request as this router observed it.
type Observation struct {
	// Incarnation is the incarnation of the upstream.
	Incarnation Incarnation
	// Verdict is the verdict on the request at the time it was sent.
	Verdict Verdict
	// Early says that no event of the response had arrived before the crash.
	Early bool
	// Sent is when the request was sent.
	Sent time.Time
	// Kind is what the digest identifies.
	Kind Kind
	// With holds the digests of all parts of the prompt if Kind is KindPart.
	With []Digest
}

// toCrash returns the observed crash with its rounds. The crash belongs to the rounds of the
// verdict if the request should have been held or a mass failure was in progress, and to the
// next rounds otherwise. Each is at least one.
func (o Observation) toCrash(inMassFailure bool) Crash {
	next := 1
	if o.Verdict.Hold > 0 || inMassFailure {
		next = 0
	}
	c := Crash{Incarnation: o.Incarnation, Round: max(1, o.Verdict.Round+next)}
	if o.Early {
		c.EarlyRound = max(1, o.Verdict.EarlyRound+next)
	}
	if len(o.With) > 0 {
		c.With = slices.SortedFunc(slices.Values(o.With), Digest.compare)
	}
	return c
}
