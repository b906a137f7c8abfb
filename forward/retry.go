// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

const (
	// minRetryTime is the remaining timeout below which no further attempt is made. A
	// response can hardly arrive in less.
	minRetryTime = 20 * time.Millisecond
	// maxAttempts bounds the attempts of a request, including those that did not run,
	// which the limit of the route does not count. Refused dials have a limit of their own,
	// since they take little time: after a crash of most upstreams the first few that a
	// request selects may all be down.
	maxAttempts     = 4
	maxRefusedDials = 8
)

// retryInput is the input of decideRetry.
type retryInput struct {
	// route determines whether a request may run more than once, at how many upstreams,
	// and whether its stream may be resumed.
	route *catalog.Route
	// execution is whether the latest attempt ran. unsent is set if no byte of it was
	// sent.
	execution granitehoist.ExecutionStatus
	unsent    bool
	// badRequest is set if the upstream rejected the request as invalid.
	badRequest bool
	// ended is set if the caller disconnected or the request's timeout passed.
	ended bool
	// attempts is the number of attempts, runs the number of those that ran or may have
	// run, refusedDials the number of those whose dial was refused or not tried.
	attempts, runs, refusedDials int
	// started is set if a part of a response was relayed, up to the event lastEventID.
	started     bool
	lastEventID granitehoist.EventID
	// timeLeft is the remaining timeout of the request.
	timeLeft time.Duration
}

// retryDecision is the result of decideRetry.
type retryDecision struct {
	// allowed is set if another attempt may follow.
	allowed bool
	// usesRetryBudget is set if the attempt requires a retry from the budget of the
	// service.
	usesRetryBudget bool
	// afterEvent is the id of the event after which the stream resumes.
	afterEvent granitehoist.EventID
}

// decideRetry decides whether another attempt may follow a failed one, whether it uses
// the retry budget, and after which event its stream resumes.
//
//   - No attempt follows if the request has ended or is invalid, too little time is left, or
//     maxAttempts or maxRefusedDials is reached.
//   - An attempt that did not run may be followed by another. One that may have run may
//     be followed only if the request is repeatable, its route allows another run, and,
//     once the caller has a part of a stream, the stream may be resumed.
//   - The retry budget bounds the attempts that reach upstreams beyond the first of each
//     request. An attempt therefore uses it unless the preceding one was not sent.
//   - A stream resumes after the last event that the caller has.
//
// Package balance never selects an instance that the request has tried.
func decideRetry(in retryInput) retryDecision {
	switch {
	case in.ended, in.badRequest, in.usedUp(), in.timeLeft < minRetryTime:
		return retryDecision{}
	case in.execution != granitehoist.NotRun && !in.mayRunAgain():
		return retryDecision{}
	}
	return retryDecision{allowed: true, usesRetryBudget: !in.unsent, afterEvent: in.lastEventID}
}

// usedUp reports whether the request has made all attempts that it may make.
func (in *retryInput) usedUp() bool {
	return in.attempts-in.refusedDials >= maxAttempts || in.refusedDials >= maxRefusedDials
}

// mayRunAgain reports whether a request that may have run may run again.
func (in *retryInput) mayRunAgain() bool {
	resumable := !in.started || in.route.Resume
	return resumable && in.route.MayRunAgain(in.runs)
}

// errorForCaller returns the error that the caller gets if no further attempt follows. It
// is the error of the last attempt, unless the last attempt did not run and an earlier
// one ran or may have run. Then it is the earlier error, because the request as a whole
// may have run. earlier is nil if there was one attempt.
func errorForCaller(earlier, last error) error {
	if earlier != nil && executionOf(earlier) != granitehoist.NotRun && executionOf(last) == granitehoist.NotRun {
		return earlier
	}
	return last
}

// executionOf returns whether an attempt with result err ran: Ran for nil.
func executionOf(err error) granitehoist.ExecutionStatus {
	return granitehoist.CodeOf(err).Info().Execution
}

// requestExecution returns whether a request with result err ran, as stated in the log.
// runs is the number of its attempts that ran or may have run.
func requestExecution(err error, runs int) granitehoist.ExecutionStatus {
	switch {
	case err == nil:
		return granitehoist.Ran
	case runs == 0:
		return granitehoist.NotRun
	}
	return granitehoist.MayHaveRun
}
