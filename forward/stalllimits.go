// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

const (
	// firstEventFraction is the fraction of the latency target for which an attempt waits
	// for the first event of a stream. The remainder is left for another attempt.
	firstEventFraction = 0.55
	// minFirstEventWait is the minimum wait for a first event, whatever the target.
	minFirstEventWait = 150 * time.Millisecond
	// allowedPromptTokensPerMS is the number of prompt tokens that extend the wait for the
	// first event by one millisecond. It is well below the rate promptTokensPerMS of
	// package balance, to tolerate slow instances.
	allowedPromptTokensPerMS granitehoist.Tokens = 12
	// maxEventGap is the maximum time between two events of a stream. Another attempt can
	// then resume the stream before callers give up.
	maxEventGap = 900 * time.Millisecond
	// completeResponseTargets is the maximum time for a response that is not a stream, as
	// a multiple of the latency target.
	completeResponseTargets = 2.0
)

// stallLimits are the maximum times that an attempt may make no progress.
type stallLimits struct {
	// first is the maximum time from the start of an attempt to the first event of a
	// stream, or to the end of another response; zero means no limit.
	first time.Duration
	// gap is the maximum time between two events of a stream; zero means no limit.
	gap time.Duration
}

// stallLimitsFor returns the time without progress after which an attempt is cancelled in
// favour of another. There is no limit where no other attempt may follow, and on routes
// without a target.
//
// prompt is the number of prompt tokens, which a model processes before its first event;
// zero if unknown. runs is the number of earlier attempts that ran or may have run.
func stallLimitsFor(r *catalog.Route, prompt granitehoist.Tokens, runs int) stallLimits {
	if !r.MayRunAgain(runs+1) || r.TargetLatency <= 0 {
		return stallLimits{}
	}
	target := float64(r.TargetLatency)
	if r.Kind != catalog.Stream {
		return stallLimits{first: time.Duration(completeResponseTargets * target)}
	}
	first := max(minFirstEventWait, time.Duration(firstEventFraction*target))
	first += time.Duration(prompt/allowedPromptTokensPerMS) * time.Millisecond
	return stallLimits{first: first, gap: maxEventGap}
}
