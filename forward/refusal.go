// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"errors"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// refusal is a reason for which the router answers a request itself. No
// attempt has run then.
type refusal int

// The reasons, in the order in which they are checked.
const (
	noRefusal refusal = iota
	// configurationMissing: the router has no configuration yet.
	configurationMissing
	// evidenceMissing: the router has just started and can't tell yet which requests crash
	// upstreams.
	evidenceMissing
	// routeUnknown: no route has the request's host and path.
	routeUnknown
	// keyMissing: the route needs a key and the caller gave none.
	keyMissing
	// keyUnknown: no workspace has the caller's key.
	keyUnknown
	// routerStopping: the router takes no new requests.
	routerStopping
	// serviceMissing: the configuration lacks the service of the route.
	serviceMissing
	// largerThanBudget: the request can cost more than the prepaid total.
	largerThanBudget
	// budgetSpent: the budget is spent.
	budgetSpent
	// budgetScarce: the store has no tokens left, but other boxes hold some.
	budgetScarce
	// budgetWithheld: the remaining budget is kept for smaller requests.
	budgetWithheld
	// storeSilent: the box has too few tokens and the store does not answer.
	storeSilent
	// noInstance: the service has no instance that takes requests.
	noInstance
	// instancesDeferred: all instances rest or name a limit, and none takes the request in
	// time.
	instancesDeferred
	// refusedByInstance: the instances that got an attempt did not run the request.
	refusedByInstance
)

// Retry-After of the refusals: when a new attempt of the caller may succeed.
const (
	// notReadyRetry is the time in which a starting router usually gets its configuration.
	notReadyRetry = 500 * time.Millisecond
	// evidenceRetry is the time in which a starting router usually gets the evidence of
	// the others.
	evidenceRetry = 100 * time.Millisecond
	// drainingRetry is short because another box can serve the caller at once.
	drainingRetry = 50 * time.Millisecond
	// noInstanceRetry is the time in which a new instance may be announced.
	noInstanceRetry = 500 * time.Millisecond
	// deferredRetry is the time in which a deferred instance may take a request where
	// nothing says when.
	deferredRetry = 300 * time.Millisecond
	// scarceRetry is the time in which other boxes return tokens that they
	// don't need. Commit 7a995c8 raised it from 700 ms and measured it only
	// together with the two below; the value itself is chosen.
	scarceRetry = 900 * time.Millisecond
	// unreachableRetry is the time after which a silent store may answer: its
	// outages last for some seconds. Measured in commit 7a995c8 together with
	// exhaustedRetry: callers with a Retry-After of 700 ms were refused again and
	// lost their one retry; score of a Tuul site 0.815 to 0.861, of a Lima site
	// 0.955 to 0.949, which is noise. No other value was tried.
	unreachableRetry = 4500 * time.Millisecond
	// exhaustedRetry is the time in which a spent budget may be raised or small
	// requests may leave some tokens. Measured with unreachableRetry.
	exhaustedRetry = 5 * time.Second
	// instanceRefusedRetry is the time in which instances that were full may have room,
	// where the instance itself states none.
	instanceRefusedRetry = 300 * time.Millisecond
)

const (
	// maxRetryAfterPart of the time that a caller has left is the longest
	// Retry-After for want of tokens: the users' pages say that callers wait up
	// to a third of it.
	maxRetryAfterPart = 0.3
	// minRetryAfter is the shortest Retry-After that maxRetryAfterPart leads to.
	minRetryAfter = 50 * time.Millisecond
)

// refusalRule is the answer to a refused request.
type refusalRule struct {
	code granitehoist.Code
	// retryAfter is zero where a new attempt can't succeed.
	retryAfter time.Duration
	// withinTimeLeft shortens retryAfter to what the caller can wait and still
	// be served.
	withinTimeLeft bool
}

// refusalRules has a line for each reason.
var refusalRules = [...]refusalRule{
	configurationMissing: {code: granitehoist.NotReady, retryAfter: notReadyRetry},
	evidenceMissing:      {code: granitehoist.NotReady, retryAfter: evidenceRetry},
	routeUnknown:         {code: granitehoist.NotFound},
	keyMissing:           {code: granitehoist.MissingKey},
	keyUnknown:           {code: granitehoist.WrongKey},
	routerStopping:       {code: granitehoist.Draining, retryAfter: drainingRetry},
	serviceMissing:       {code: granitehoist.NoUpstream, retryAfter: noInstanceRetry},
	largerThanBudget:     {code: granitehoist.BudgetExhausted},
	budgetSpent:          {code: granitehoist.BudgetExhausted, retryAfter: exhaustedRetry, withinTimeLeft: true},
	budgetScarce:         {code: granitehoist.BudgetUnreachable, retryAfter: scarceRetry, withinTimeLeft: true},
	budgetWithheld:       {code: granitehoist.BudgetUnreachable, retryAfter: exhaustedRetry, withinTimeLeft: true},
	storeSilent:          {code: granitehoist.BudgetUnreachable, retryAfter: unreachableRetry, withinTimeLeft: true},
	noInstance:           {code: granitehoist.NoUpstream, retryAfter: noInstanceRetry},
	instancesDeferred:    {code: granitehoist.Overloaded, retryAfter: deferredRetry, withinTimeLeft: true},
	refusedByInstance:    {code: granitehoist.UpstreamRefused, retryAfter: instanceRefusedRetry},
}

// error decides the answer to a refused request: the code and the Retry-After
// of refusalRules. timeLeft is what remains of the request's timeout now. It
// panics for noRefusal.
func (r refusal) error(timeLeft time.Duration) *granitehoist.Error {
	if r == noRefusal {
		panic("forward: error of a request that was not refused")
	}
	rule := refusalRules[r]
	e := granitehoist.Errorf(rule.code, "")
	e.RetryAfter = rule.retryAfter
	if rule.withinTimeLeft {
		e.RetryAfter = withinTimeLeft(rule.retryAfter, timeLeft)
	}
	return e
}

// withinTimeLeft shortens a Retry-After to what the caller can wait and still be served.
func withinTimeLeft(retryAfter, timeLeft time.Duration) time.Duration {
	longest := time.Duration(maxRetryAfterPart * float64(timeLeft))
	return max(minRetryAfter, min(retryAfter, longest))
}

// budgetRefusal returns the refusal that a reservation's outcome leads to,
// noRefusal for a granted one.
func budgetRefusal(o escrow.Outcome) refusal {
	switch o {
	case escrow.Exhausted:
		return budgetSpent
	case escrow.Scarce:
		return budgetScarce
	case escrow.Withheld:
		return budgetWithheld
	case escrow.Unreachable:
		return storeSilent
	case escrow.Granted:
	}
	return noRefusal
}

// instanceRefusal returns the error after an instance did not run a request.
// stated is the Retry-After of the instance, which knows best; zero if it
// stated none.
func instanceRefusal(stated time.Duration) *granitehoist.Error {
	e := refusedByInstance.error(0)
	if stated > 0 {
		e.RetryAfter = stated
	}
	return e
}

// withRetryAfter returns the error of balance.Table.Pick, which found no instance,
// with the Retry-After of noInstance if the error has none of its own. The table
// sets none.
func withRetryAfter(err error) error {
	var e *granitehoist.Error
	if !errors.As(err, &e) || e.RetryAfter > 0 {
		return err
	}
	completed := *e
	completed.RetryAfter = refusalRules[noInstance].retryAfter
	return &completed
}
