// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/retrybudget"
)

// maxAttempts bounds the attempts of one request, the first included.
const maxAttempts = 3

// attemptState is the input of decideRetry.
type attemptState struct {
	// attempts is the number of attempts so far.
	attempts int
	// code is the result code of overallError for the attempts so far.
	code granitehoist.Code
	// repeatable means that the request may run twice.
	repeatable bool
	// responseStarted means that the caller has received a part of the response.
	responseStarted bool
	// contextDone means that the deadline has passed or the caller has disconnected.
	contextDone bool
}

// retryDecision says whether to retry, and if not, why.
type retryDecision int

const (
	retryAllowed retryDecision = iota
	stopMaxAttempts
	stopResponseStarted
	stopContextDone
	stopBadRequest
	stopMayHaveRun
)

// decideRetry decides whether a request may be sent to another upstream. It returns
// retryAllowed if all of these hold:
//   - fewer than maxAttempts attempts were made;
//   - the caller has received no part of the response;
//   - the deadline has not passed and the caller has not disconnected;
//   - no upstream rejected the request as invalid;
//   - no attempt may have run, or the request is repeatable.
//
// The caller of decideRetry checks the retry budget and the token reservation afterwards,
// since a successful check takes from the retry budget or reserves tokens.
func decideRetry(s attemptState) retryDecision {
	switch {
	case s.attempts >= maxAttempts:
		return stopMaxAttempts
	case s.responseStarted:
		return stopResponseStarted
	case s.contextDone:
		return stopContextDone
	case s.code == granitehoist.BadRequest:
		return stopBadRequest
	case s.code.Info().Execution != granitehoist.NotRun && !s.repeatable:
		return stopMayHaveRun
	}
	return retryAllowed
}

const (
	// retriesPerRequest limits retries to a tenth of the requests of all services together,
	// so that they add little load to a failing service.
	retriesPerRequest = 0.1
	// retryBudgetCapacity is the largest number of unused retries that accumulate.
	retryBudgetCapacity = 20
	// initialRetryFraction is the part of retryBudgetCapacity available at the start.
	initialRetryFraction = 0.5
)

// newRetryBudget returns the retry budget of a router. It is refilled by requests, not by
// time.
func newRetryBudget() *retrybudget.Budget {
	return retrybudget.New(retrybudget.Settings{
		PerRequest:      retriesPerRequest,
		Capacity:        retryBudgetCapacity,
		InitialFraction: initialRetryFraction,
	})
}
