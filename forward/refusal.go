// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"errors"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// refusal is a reason for which the router rejects a request that no upstream has run.
type refusal int

// The refusals, in the order in which they are checked, except that crashRecordsMissing is
// checked after serviceMissing.
const (
	noRefusal refusal = iota
	// configurationMissing: the router has no configuration yet.
	configurationMissing
	// crashRecordsMissing: the router has just started and does not have the crash records
	// of the other routers yet.
	crashRecordsMissing
	// routeUnknown: no route matches the host and path.
	routeUnknown
	// keyMissing: the route needs a key and the request has none.
	keyMissing
	// keyUnknown: no workspace has the key.
	keyUnknown
	// routerStopping: the router is shutting down.
	routerStopping
	// serviceMissing: the configuration does not define the service of the route.
	serviceMissing
	// costInvalid: the request states no maximum cost although its service is metered, or
	// one out of range.
	costInvalid
	// largerThanBudget: the maximum cost exceeds the prepaid total.
	largerThanBudget
	// budgetExhausted: too few prepaid tokens are left in the store and at all routers
	// together.
	budgetExhausted
	// budgetScarce: this router could not get enough tokens, although the store responds
	// and the budget may have enough.
	budgetScarce
	// budgetWithheld: the remaining tokens are set aside for smaller requests.
	budgetWithheld
	// storeUnresponsive: the box has too few tokens and the store does not respond.
	storeUnresponsive
	// noRegionAllowed: the rules of the operators allow no region.
	noRegionAllowed
	// noInstance: the service has no instance that accepts requests.
	noInstance
	// instancesDeferred: all instances are backing off or at a rate limit, and none accepts
	// the request in time.
	instancesDeferred
	// refusedByInstance: the instances to which the request was sent did not run it.
	refusedByInstance
	// originUnknown: it is not known which release began the stream that the caller takes
	// up.
	originUnknown
	// originGone: no instance of the release that began the stream accepts requests.
	originGone
	// upstreamsUnreachable: this router has no path to the upstreams.
	upstreamsUnreachable
)

// Retry-After of the refusals: the time after which a retry by the caller may succeed.
const (
	// notReadyRetry is the usual time until a starting router has its configuration.
	notReadyRetry = 500 * time.Millisecond
	// crashRecordsRetry is the usual time until a starting router has the crash records.
	crashRecordsRetry = 100 * time.Millisecond
	// drainingRetry is short, since another box can serve the request at once.
	drainingRetry = 50 * time.Millisecond
	// noInstanceRetry is the usual time until a replacement instance is announced.
	noInstanceRetry = 500 * time.Millisecond
	// deferredRetry is the wait for a deferred instance that stated no time.
	deferredRetry = 300 * time.Millisecond
	// scarceRetry is the time within which other routers return tokens that they don't
	// need.
	scarceRetry = 900 * time.Millisecond
	// unreachableRetry covers an outage of the store of some seconds, so that callers which
	// retry only once do not do so during it.
	unreachableRetry = 4500 * time.Millisecond
	// unreachablePathRetry lets the caller reach another box, which may have a path.
	unreachablePathRetry = 200 * time.Millisecond
	// exhaustedRetry is the time within which an exhausted budget may be raised or
	// reserved tokens may be returned.
	exhaustedRetry = 5 * time.Second
	// instanceRefusedRetry is the wait for an instance that is at capacity and sent no
	// Retry-After.
	instanceRefusedRetry = 300 * time.Millisecond
)

const (
	// maxRetryAfterFraction is the maximum Retry-After for budgets and overload, as a
	// fraction of the request's remaining timeout, which leaves time for the retry. Callers
	// honour a Retry-After of up to a third of the time that they have left.
	maxRetryAfterFraction = 0.3
	// minRetryAfter is the minimum result of capRetryAfter.
	minRetryAfter = 50 * time.Millisecond
)

// refusalRule is the response to a refused request.
type refusalRule struct {
	code granitehoist.Code
	// retryAfter is zero if a retry can't succeed.
	retryAfter time.Duration
	// capToTimeLeft limits retryAfter by capRetryAfter.
	capToTimeLeft bool
}

// refusalRules is indexed by refusal.
var refusalRules = [...]refusalRule{
	configurationMissing: {code: granitehoist.NotReady, retryAfter: notReadyRetry},
	crashRecordsMissing:  {code: granitehoist.NotReady, retryAfter: crashRecordsRetry},
	routeUnknown:         {code: granitehoist.NotFound},
	keyMissing:           {code: granitehoist.MissingKey},
	keyUnknown:           {code: granitehoist.WrongKey},
	routerStopping:       {code: granitehoist.Draining, retryAfter: drainingRetry},
	serviceMissing:       {code: granitehoist.NoUpstream, retryAfter: noInstanceRetry},
	costInvalid:          {code: granitehoist.BadTokenCount},
	largerThanBudget:     {code: granitehoist.BudgetExhausted},
	budgetExhausted:      {code: granitehoist.BudgetExhausted, retryAfter: exhaustedRetry, capToTimeLeft: true},
	budgetScarce:         {code: granitehoist.BudgetUnreachable, retryAfter: scarceRetry, capToTimeLeft: true},
	budgetWithheld:       {code: granitehoist.BudgetUnreachable, retryAfter: exhaustedRetry, capToTimeLeft: true},
	storeUnresponsive:    {code: granitehoist.BudgetUnreachable, retryAfter: unreachableRetry, capToTimeLeft: true},
	noRegionAllowed:      {code: granitehoist.NoUpstream},
	noInstance:           {code: granitehoist.NoUpstream, retryAfter: noInstanceRetry},
	instancesDeferred:    {code: granitehoist.Overloaded, retryAfter: deferredRetry, capToTimeLeft: true},
	upstreamsUnreachable: {code: granitehoist.UpstreamsUnreachable, retryAfter: unreachablePathRetry, capToTimeLeft: true},
	originUnknown:        {code: granitehoist.NotResumable},
	originGone:           {code: granitehoist.NotResumable},
	refusedByInstance:    {code: granitehoist.UpstreamRefused, retryAfter: instanceRefusedRetry},
}

// error returns the error of a refused request, with the code and the Retry-After of
// refusalRules. timeLeft is the remaining timeout of the request. error panics for
// noRefusal.
func (r refusal) error(timeLeft time.Duration) *granitehoist.Error {
	if r == noRefusal {
		panic("forward: error called on noRefusal")
	}
	rule := refusalRules[r]
	e := granitehoist.Errorf(rule.code, "")
	e.RetryAfter = rule.retryAfter
	if rule.capToTimeLeft {
		e.RetryAfter = capRetryAfter(rule.retryAfter, timeLeft)
	}
	return e
}

// capRetryAfter limits a Retry-After to maxRetryAfterFraction of timeLeft, so that the
// caller can wait and still be served. The result is at least minRetryAfter.
func capRetryAfter(retryAfter, timeLeft time.Duration) time.Duration {
	longest := time.Duration(maxRetryAfterFraction * float64(timeLeft))
	return max(minRetryAfter, min(retryAfter, longest))
}

// budgetRefusal returns the refusal for the outcome of a reservation, noRefusal if it was
// granted.
func budgetRefusal(o escrow.Outcome) refusal {
	switch o {
	case escrow.Exhausted:
		return budgetExhausted
	case escrow.Scarce:
		return budgetScarce
	case escrow.Withheld:
		return budgetWithheld
	case escrow.Unreachable:
		return storeUnresponsive
	case escrow.Granted:
	}
	return noRefusal
}

// instanceRefusal returns the error for a request that an instance did not run. stated is
// the Retry-After of the instance, zero if it sent none.
func instanceRefusal(stated time.Duration) *granitehoist.Error {
	e := refusedByInstance.error(0)
	if stated > 0 {
		e.RetryAfter = stated
	}
	return e
}

// withRetryAfter returns an error of balance.Table.Pick, with the Retry-After of
// noInstance if it has none.
func withRetryAfter(err error) error {
	var e *granitehoist.Error
	if !errors.As(err, &e) || e.RetryAfter > 0 {
		return err
	}
	withDefault := *e
	withDefault.RetryAfter = refusalRules[noInstance].retryAfter
	return &withDefault
}
