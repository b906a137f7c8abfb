// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// Times after which a refused caller may try again. They are advice in the
// header Retry-After, which counts whole seconds.
const (
	// upstreamRetryAfter is for a request that found no upstream, or none with
	// room; chosen, not measured.
	upstreamRetryAfter = time.Second
	// billsRetryAfter is for a ledger that is full, which empties only when the
	// store answers again; chosen, not measured.
	billsRetryAfter = 10 * time.Second
)

// retryAfter decides when a refused caller may try again; zero stands for no
// advice. An error that carries its own time keeps it: budget.Agent sets one if
// it can't fetch tokens now.
func retryAfter(e *granitehoist.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch e.Code {
	case granitehoist.NoUpstream, granitehoist.Overloaded:
		return upstreamRetryAfter
	case granitehoist.BillsFull:
		return billsRetryAfter
	}
	return 0
}

// wholeSeconds rounds a time up to the seconds of the header Retry-After.
func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
