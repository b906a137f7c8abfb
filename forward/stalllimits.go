// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

const (
	// firstEventPart is the part of the target for which a stream waits for its
	// first event, so that another attempt can still bring one within the
	// target. Chosen, not measured.
	firstEventPart = 0.55
	// minFirstEventWait is the shortest wait for a first event, whatever the
	// target. Chosen, not measured.
	minFirstEventWait = 150 * time.Millisecond
	// allowedPromptTokensPerMS is how many tokens of a prompt an upstream is taken to
	// read in a millisecond before its first event. Chosen, not measured.
	allowedPromptTokensPerMS granitehoist.Tokens = 12
	// maxEventGap is the longest pause between two events of a stream. It lies
	// below the 2 s after which callers abandon a silent stream by the users'
	// pages, so that another attempt can go on before. The value itself is
	// chosen, not measured.
	maxEventGap = 900 * time.Millisecond
	// completeAnswerTargets is how many times the target an answer that is no stream
	// may take to be complete. Chosen, not measured.
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
// router gives it up for another. Only an attempt that another one may follow
// is given up: otherwise waiting for the overall timeout is all that is left.
// So there is no limit on routes whose requests run at most once, on the last
// attempt that the route allows, and on routes without a target.
//
// It reads the kind, the target and the largest number of attempts of the
// route, as old as the configuration in force; the tokens of the prompt, which a
// model reads before its first event (zero if unknown); and runs, the number of
// earlier attempts that ran or may have run. Those that did not run don't count
// as attempts by the route.
func limitStalls(r *catalog.Route, prompt granitehoist.Tokens, runs int) stallLimits {
	lastAllowed := runs+1 >= max(1, r.MaxAttempts)
	if !r.Repeatable() || lastAllowed || r.Target <= 0 {
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
