// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/retrybudget"
)

// maxAttempts bounds the attempts of one request, the first included.
const maxAttempts = 3

// attemptState is what decides whether another attempt may follow one that
// failed.
type attemptState struct {
	// made is the number of attempts so far.
	made int
	// code is the result of all attempts so far, as overallError returns it.
	code granitehoist.Code
	// repeatable says that the request may run twice.
	repeatable bool
	// answerStarted says that the caller has a part of an answer.
	answerStarted bool
	// ended says that the deadline has passed or the caller has left.
	ended bool
}

// retryVerdict says whether another attempt may follow, and if not, why.
type retryVerdict int

const (
	retryAllowed retryVerdict = iota
	stopTooMany
	stopAnswerStarted
	stopEnded
	stopCallersFault
	stopMayHaveRun
)

// decideRetry decides whether a request may be sent to another upstream. It may
// as long as the caller waits, has no part of an answer and is not at fault;
// after an attempt that may have run, only if the request may run twice.
// The router's budget of retries and the reservation of a further attempt are
// asked only after this rule, since asking takes from them.
func decideRetry(s attemptState) retryVerdict {
	switch {
	case s.made >= maxAttempts:
		return stopTooMany
	case s.answerStarted:
		return stopAnswerStarted
	case s.ended:
		return stopEnded
	case s.code == granitehoist.BadRequest:
		return stopCallersFault
	case s.code.Info().Fate != granitehoist.NotRun && !s.repeatable:
		return stopMayHaveRun
	}
	return retryAllowed
}

const (
	// retriesPerRequest bounds retries to a tenth of the requests of all services
	// together, so that they add little load to a failing service.
	retriesPerRequest = 0.1
	// maxSavedRetries is the most retries that requests without a retry can save up.
	maxSavedRetries = 20
	// initialRetryPart is the part of maxSavedRetries that a router starts with: 10
	// retries.
	initialRetryPart = 0.5
)

// newRetryBudget returns the retry budget of a router. It does not refill with
// time.
func newRetryBudget() *retrybudget.Budget {
	return retrybudget.New(retrybudget.Settings{
		PerRequest:  retriesPerRequest,
		Capacity:    maxSavedRetries,
		InitialPart: initialRetryPart,
	})
}
