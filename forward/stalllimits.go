// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

const (
	// firstEventPart is the part of the target for which an attempt waits for the first
	// event of a stream. The remainder is left for another attempt.
	firstEventPart = 0.55
	// minFirstEventWait is the shortest wait for a first event, whatever the target.
	minFirstEventWait = 150 * time.Millisecond
	// allowedPromptTokensPerMS extends the wait for the first event: by one millisecond
	// for each so many tokens of the prompt. It is about a fifth of the reading rate that
	// the users' pages give (promptTokensPerMS in package balance).
	allowedPromptTokensPerMS granitehoist.Tokens = 12
	// maxEventGap is the longest pause between two events of a stream. By the
	// users' pages callers abandon a stream that is silent for 2 s; a shorter gap
	// lets another attempt continue it before. The value itself is chosen, not
	// measured.
	maxEventGap = 900 * time.Millisecond
	// completeAnswerTargets is how long an answer that is no stream may take to arrive
	// completely, in multiples of the target.
	completeAnswerTargets = 2.0
)

// stallLimits are how long an attempt may go on without progress.
type stallLimits struct {
	// first is the time from the start of an attempt to the first event of a
	// stream, or to the end of another answer; zero sets no limit.
	first time.Duration
	// gap is the time from one event of a stream to the next; zero sets no
	// limit.
	gap time.Duration
}

// limitStalls decides how long an attempt may make no progress before this
// router cancels it and makes another. It sets a limit only if another attempt may
// follow; otherwise it is better to wait for the request's timeout. So there is no
// limit on routes whose requests run at most once, on the last attempt that the
// route allows, and on routes without a target.
//
// It reads the kind, the target and the largest number of attempts of the
// route, as old as the configuration in force; the tokens of the prompt, which a
// model reads before its first event (zero if unknown); and runs, the number of
// earlier attempts that ran or may have run. Those that did not run don't count
// as attempts by the route.
func limitStalls(r *catalog.Route, prompt granitehoist.Tokens, runs int) stallLimits {
	if !r.MayRunAgain(runs+1) || r.Target <= 0 {
		return stallLimits{}
	}
	target := float64(r.Target)
	if r.Kind != catalog.Stream {
		return stallLimits{first: time.Duration(completeAnswerTargets * target)}
	}
	first := max(minFirstEventWait, time.Duration(firstEventPart*target))
	first += time.Duration(prompt/allowedPromptTokensPerMS) * time.Millisecond
	return stallLimits{first: first, gap: maxEventGap}
}
