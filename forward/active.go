// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/origin"
)

// activeRequest is the state of one request that a Forwarder serves. Only the goroutine
// that called Forwarder.Serve uses it.
type activeRequest struct {
	forwarder *Forwarder
	sink      granitehoist.Sink
	request   *Request
	admission admission
	progress  progress
}

// admission holds the decisions made before the first attempt. If the request was
// refused, fields that were not decided by then are zero.
type admission struct {
	// version is the version of the configuration on which the decisions are based.
	version granitehoist.Version
	// requireKey is set if callers are identified by keys.
	requireKey bool
	route      *catalog.Route
	// workspace is nil for routes that need no key.
	workspace *catalog.Workspace
	service   *catalog.Service
	priority  granitehoist.Priority
	// deadline is the end of the request's timeout.
	deadline time.Time
	// maxCost is the maximum cost of the request, zero if it uses no prepaid tokens.
	maxCost granitehoist.Tokens
}

// progress is the state of a request after its admission.
type progress struct {
	// budget is the result of the reservation, zero if none was needed. reserved is set
	// if it was granted and must be settled.
	budget   escrow.Answer
	reserved bool
	// charged is the number of tokens charged at the end of the request.
	charged granitehoist.Tokens
	// tried holds the instances to which the request was sent.
	tried    map[granitehoist.Upstream]bool
	attempts int
	// runs is the number of attempts that ran or may have run. rejections is the number of
	// those that the instance rejected, refusedDials the number of those whose dial was
	// refused or not tried.
	runs, rejections, refusedDials int
	// started is set once the response head was relayed, at firstByteAt.
	started     bool
	firstByteAt time.Time
	// origin is where the stream began; nil until the caller has an event of it.
	// originRecorded is set once this request has recorded it.
	origin         *origin.Origin
	originRecorded bool
	// events is the number of counted events relayed, and uncounted is set if any other part
	// of a body was relayed, whole or not (settlement). lastEventID is the id of the last event
	// that the caller has, which may stem from an earlier request.
	events      int64
	uncounted   bool
	lastEventID granitehoist.EventID
	// relayedBytes counts the bytes of response bodies that were relayed.
	relayedBytes int64
	// deferredFor is the time spent waiting because all instances were backing off or at
	// a rate limit.
	deferredFor time.Duration
	// suspectStatus holds the crash records of the request as of the latest attempt.
	suspectStatus suspectStatus
}

// run processes the request. Its error is a *granitehoist.Error.
func (a *activeRequest) run(ctx context.Context) error {
	settings := &a.forwarder.settings
	var refused refusal
	a.admission, refused = identify(settings.Catalog.Get(), a.request, a.forwarder.stopped.Load(), rand.Float64())
	if refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	now := settings.Clock()
	ctx, cancel := settings.Deadlines.WithTimeout(ctx, a.admission.deadline.Sub(now), now)
	defer cancel()
	if err := a.awaitCrashRecords(ctx); err != nil {
		return err
	}
	if err := a.checkSuspect(); err != nil {
		return err
	}
	if err := a.checkRegions(); err != nil {
		return err
	}
	if err := a.findOrigin(ctx); err != nil {
		return err
	}
	if err := a.reserve(ctx); err != nil {
		return err
	}
	err := a.forward(ctx)
	a.settle(err)
	return err
}

// reserve reserves the maximum cost of the request.
func (a *activeRequest) reserve(ctx context.Context) error {
	plan, refused := planReservation(a.admission.workspace, a.request.MaxCost, a.admission.service.TokensPerEvent > 0, a.admission.route.TargetLatency)
	a.admission.maxCost = plan.maxCost
	if refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	if !plan.needed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, plan.wait)
	defer cancel()
	a.progress.budget = a.forwarder.settings.Budgets.Reserve(ctx, a.admission.workspace.Name, plan.maxCost, a.admission.priority)
	if refused := budgetRefusal(a.progress.budget.Outcome); refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	a.progress.reserved = true
	return nil
}

// timeLeft returns the time until the deadline; negative after it.
func (a *activeRequest) timeLeft() time.Duration {
	return a.admission.deadline.Sub(a.forwarder.settings.Clock())
}

// settle charges the request and releases the remaining reserved tokens. err is the
// result of the request.
func (a *activeRequest) settle(err error) {
	if !a.progress.reserved {
		return
	}
	a.progress.charged = settlement{
		cost:           *a.request.MaxCost,
		tokensPerEvent: a.admission.service.TokensPerEvent,
		events:         a.progress.events,
		uncounted:      a.progress.uncounted,
		runs:           a.progress.runs,
		complete:       err == nil,
	}.charge()
	a.forwarder.settings.Budgets.Settle(a.admission.workspace.Name, a.admission.maxCost, a.progress.charged)
}

// forward makes attempts until one succeeds or no other may follow.
func (a *activeRequest) forward(ctx context.Context) error {
	settings := &a.forwarder.settings
	a.forwarder.retryBudgets.forService(a.admission.service.Name).Earn(settings.Clock())
	afterEvent := a.request.LastEventID
	// failure is the error for the caller if no attempt follows.
	var failure error
	for {
		lease, err := a.pickRunning(ctx)
		if err != nil && failure != nil {
			return a.withEarliestRetryAfter(failure)
		}
		if err != nil {
			return err
		}
		decision, err := a.attemptAt(ctx, lease, afterEvent)
		if err == nil {
			return nil
		}
		failure = errorForCaller(failure, err)
		if !decision.allowed {
			return a.withEarliestRetryAfter(failure)
		}
		afterEvent = decision.afterEvent
	}
}

// pick selects the instance for the next attempt. Before that it checks the deadline, since
// no timer fires while the machine is suspended. It also checks the crash records again,
// since they may have changed while the request waited for tokens or for the previous
// attempt.
func (a *activeRequest) pick(ctx context.Context) (*balance.Lease, error) {
	if left := a.timeLeft(); left <= 0 {
		return nil, granitehoist.Errorf(granitehoist.DeadlineTooNear, "the deadline passed %s ago", -left)
	}
	if err := a.awaitHold(ctx); err != nil {
		return nil, err
	}
	lease, err := a.pickOrWait(ctx)
	if err != nil {
		// The rules may have changed while the request waited.
		if refused := a.checkRegions(); refused != nil {
			return nil, refused
		}
		if _, deferred := balance.DeferralOf(err); !deferred && a.progress.origin != nil {
			return nil, a.originGoneError(err)
		}
		return nil, withRetryAfter(err)
	}
	return lease, nil
}

// attemptAt makes one attempt at an instance and reports it to the balancer and the log.
// It returns whether another attempt may follow, and the error of this one, which is nil
// if the response was relayed completely.
func (a *activeRequest) attemptAt(ctx context.Context, lease *balance.Lease, afterEvent granitehoist.EventID) (retryDecision, error) {
	settings := &a.forwarder.settings
	a.progress.tried[lease.ID] = true
	a.progress.attempts++
	sent, relayedBefore := settings.Clock(), a.progress.relayedBytes
	settings.Rollouts.Sent(a.admission.service.Name, lease.Release, sent)
	result := a.attempt(ctx, lease, afterEvent)
	a.recordOutcome(ctx, lease, &result)
	a.countRun(&result)
	decision := a.nextAttempt(ctx, &result)
	if result.failure != nil {
		if !decision.allowed {
			result.err = a.relayBuffered(*result.failure)
		}
		result.failure.release()
	}
	ended := settings.Clock()
	outcome := instanceResult(&result, ctx.Err() != nil)
	lease.Done(outcome, ended)
	a.reportExceeded(lease, &result)
	if reason := result.notRunReason(); reason != NotRunUnproven {
		settings.OnNotRun(reason)
	}
	a.endAttempt(lease, &result, outcome, sent, ended)
	a.reportCrossing(lease, a.progress.relayedBytes-relayedBefore)
	a.logAttempt(lease, &result, ended.Sub(sent))
	return decision, result.err
}

// reportExceeded reports a response that exceeded a bound.
func (a *activeRequest) reportExceeded(lease *balance.Lease, result *attemptResult) {
	if exceeded := result.exceeded(); exceeded != nil {
		a.forwarder.settings.OnExceeded(lease.ID, exceeded)
	}
}

// countRun counts an attempt that ran or may have run, or that was rejected, either by the
// instance or already when it was dialed.
func (a *activeRequest) countRun(result *attemptResult) {
	switch {
	case result.class == responseRefused:
		a.progress.rejections++
	case result.refusedDial:
		a.progress.refusedDials++
	case executionOf(result.err) != granitehoist.NotRun:
		a.progress.runs++
	}
}

// nextAttempt decides whether another attempt follows. If that attempt requires a retry
// from the budget of the service, and the stall timer has not taken one, nextAttempt takes
// one. It allows no attempt if the budget has none.
func (a *activeRequest) nextAttempt(ctx context.Context, result *attemptResult) retryDecision {
	if result.err == nil {
		return retryDecision{}
	}
	now := a.forwarder.settings.Clock()
	decision := decideRetry(retryInput{
		route:        a.admission.route,
		execution:    executionOf(result.err),
		unsent:       result.unsent,
		badRequest:   result.class == responseBadRequest,
		ended:        ctx.Err() != nil,
		attempts:     a.progress.attempts,
		runs:         a.progress.runs,
		refusedDials: a.progress.refusedDials,
		started:      a.progress.started,
		lastEventID:  a.progress.lastEventID,
		timeLeft:     a.admission.deadline.Sub(now),
	})
	if decision.allowed && decision.usesRetryBudget && !result.retryTaken {
		decision.allowed = a.takeRetry()
	}
	return decision
}

// takeRetry takes one retry from the budget of the service and reports whether one was
// available.
func (a *activeRequest) takeRetry() bool {
	return a.forwarder.retryBudgets.forService(a.admission.service.Name).Take(a.forwarder.settings.Clock())
}

// query returns the balancer query for the next attempt.
func (a *activeRequest) query() balance.Query {
	query := balance.Query{
		Service:         a.admission.service.Name,
		Tried:           a.progress.tried,
		ColdRequestRate: a.admission.service.ColdRequestRate,
		Routers:         a.forwarder.settings.Routers(),
		AllowedRegions:  a.allowedRegions(),
		RoundTrips:      roundTripsOf(a.admission.route.Kind),
		Pin:             a.pin(),
		Priority:        a.admission.priority,
	}
	if a.progress.origin != nil {
		query.Release = &a.progress.origin.Release
	}
	if a.request.MaxCost == nil {
		return query
	}
	query.PromptTokens = a.request.MaxCost.Prompt
	query.MaxEventGap = a.admission.route.MaxEventGap
	if a.admission.route.Affinity {
		query.PrefixHash = balance.PrefixHash(a.request.PrefixParts)
		query.PrefixTokens = min(a.request.PrefixTokens, query.PromptTokens)
	}
	return query
}

// roundTripsOf returns the number of round trips to an instance that the cost of a request
// counts: one for the first event of a stream, and plainRoundTrips for a plain request.
func roundTripsOf(kind catalog.RouteKind) int {
	if kind == catalog.Stream {
		return 1
	}
	return plainRoundTrips
}

// plainRoundTrips is the number of round trips of a plain request: that of its response and
// that of a new connection, since idle connections are reused only briefly.
const plainRoundTrips = 2

// end logs the request and reports it to Settings.OnEnd.
func (a *activeRequest) end(err error) {
	now := a.forwarder.settings.Clock()
	report := Report{Code: granitehoist.CodeOf(err), Attempts: a.progress.attempts, Rejections: a.progress.rejections, Budget: a.progress.budget.Outcome, Duration: now.Sub(a.request.Arrived)}
	if a.admission.service != nil {
		report.Service = a.admission.service.Name
	}
	if a.admission.workspace != nil {
		report.Workspace = a.admission.workspace.Name
	}
	if !a.progress.firstByteAt.IsZero() {
		report.TimeToFirstByte = a.progress.firstByteAt.Sub(a.request.Arrived)
	}
	a.forwarder.settings.OnEnd(report)
	a.logEnd(report, err)
}
