// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import "time"

// Observation is what a router saw of a crash under a request.
type Observation struct {
	// Life is the run of the upstream.
	Life Life
	// Known is the verdict on the request when it was sent there.
	Known Verdict
	// Early says that no event of the answer had arrived.
	Early bool
	// Sent is when the request was sent.
	Sent time.Time
	// OfScope says that the digest names a scope.
	OfScope bool
}

// crash numbers the rounds of the observed crash. A run that was sent while the request
// was to be held belongs to the round before, and so does one that crashed in a loss of
// many upstreams.
func (o Observation) crash(inLoss bool) Crash {
	next := 1
	if o.Known.Hold > 0 || inLoss {
		next = 0
	}
	c := Crash{Life: o.Life, Round: max(1, o.Known.Round+next)}
	if o.Early {
		c.Early = max(1, o.Known.Early+next)
	}
	return c
}
