// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

const (
	// minRetryTime is the time left below which no other attempt is made, since an answer
	// can hardly arrive in less.
	minRetryTime = 20 * time.Millisecond
	// maxAttempts bounds the attempts of one request, also those that did not run, which
	// the route's own bound does not count.
	maxAttempts = 4
)

// retryInput is what the decision on another attempt depends on.
type retryInput struct {
	// route says whether a request may run more than once, at how many upstreams,
	// and whether a stream may be resumed. It is as old as the configuration.
	route *catalog.Route
	// fate is what is known of the latest attempt, and unsent says that no byte
	// of it left this router.
	fate   granitehoist.Fate
	unsent bool
	// faulty says that the upstream rejected it for what the request states.
	faulty bool
	// ended says that the caller has left or the request's timeout has passed.
	ended bool
	// attempts counts all attempts so far, runs those that ran or may have run.
	attempts, runs int
	// started says that a part of an answer was passed on, up to the event
	// lastEventID.
	started     bool
	lastEventID int64
	// timeLeft is the time until the request's timeout.
	timeLeft time.Duration
}

// retryVerdict is the decision on another attempt.
type retryVerdict struct {
	// allowed says that another attempt may follow.
	allowed bool
	// usesRetryBudget says that it must take one retry from the budget of the
	// service, and does not follow if that is empty.
	usesRetryBudget bool
	// afterEvent is the id of the event after which its stream continues.
	afterEvent int64
}

// decideRetry decides whether another attempt may follow one that failed, whether
// it uses the retry budget, and from which event its stream continues.
//
//   - None follows if the request has ended, too little time is left for an
//     answer, maxAttempts were made, or the fault is the request's own.
//   - An attempt that may have run is followed by another only if the request
//     may run more than once, its route allows another upstream to run it, and,
//     once the caller has a part of a stream, the stream may be resumed. One
//     that did not run may always be followed.
//   - The operators bound the attempts that reach upstreams beyond the first of
//     each request. So every attempt uses the retry budget, unless the attempt
//     before it never left this router.
//   - A stream continues after the last event that the caller has.
//
// Package balance never picks an instance that the request has tried.
func decideRetry(in retryInput) retryVerdict {
	switch {
	case in.ended, in.faulty, in.attempts >= maxAttempts, in.timeLeft < minRetryTime:
		return retryVerdict{}
	case in.fate != granitehoist.NotRun && !in.mayRunAgain():
		return retryVerdict{}
	}
	return retryVerdict{allowed: true, usesRetryBudget: !in.unsent, afterEvent: in.lastEventID}
}

// mayRunAgain reports whether a request that may have run may run once more.
func (in *retryInput) mayRunAgain() bool {
	resumable := !in.started || in.route.Resume
	return resumable && in.route.MayRunAgain(in.runs)
}

// errorForCaller decides which error the caller gets if no further attempt follows:
// that of the last attempt, unless that one did not run and an earlier one may
// have. Then it is the earlier error, since the request may have run. earlier is
// the result for the attempts before the last, nil if there were none.
func errorForCaller(earlier, last error) error {
	if earlier != nil && fateOf(earlier) != granitehoist.NotRun && fateOf(last) == granitehoist.NotRun {
		return earlier
	}
	return last
}

// fateOf returns what the result of an attempt says about its execution: Ran for
// nil.
func fateOf(err error) granitehoist.Fate { return granitehoist.CodeOf(err).Info().Fate }

// requestFate decides which fate the log states for a request that ended with err.
// runs is the number of its attempts that ran or may have run.
func requestFate(err error, runs int) granitehoist.Fate {
	switch {
	case err == nil:
		return granitehoist.Ran
	case runs == 0:
		return granitehoist.NotRun
	}
	return granitehoist.MayHaveRun
}
