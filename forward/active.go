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
)

// activeRequest is one request while a Forwarder serves it. Only the goroutine that
// called Forwarder.Serve uses it.
type activeRequest struct {
	forwarder *Forwarder
	sink      granitehoist.Sink
	request   *Request
	admission admission
	progress  progress
}

// admission is what was decided about a request before its first attempt. If the
// request was refused, the fields that were not decided by then are zero.
type admission struct {
	// version is the version of the configuration that the decisions are based on.
	version granitehoist.Version
	// keyed says that keys identify callers.
	keyed bool
	route *catalog.Route
	// workspace is nil for requests of routes that need no key.
	workspace *catalog.Workspace
	service   *catalog.Service
	priority  granitehoist.Priority
	// deadline is when the request's timeout ends.
	deadline time.Time
	// bound is the most tokens that the request can cost, zero if it costs no
	// prepaid tokens.
	bound granitehoist.Tokens
}

// progress is what has happened to a request so far.
type progress struct {
	// budget is the answer to the reservation, zero if none was needed.
	// reserved says that it was granted and must be settled.
	budget   escrow.Answer
	reserved bool
	// charged is how many tokens the request was charged at its end.
	charged granitehoist.Tokens
	// tried holds the instances that were sent the request.
	tried    map[granitehoist.Upstream]bool
	attempts int
	// runs counts the attempts that ran or may have run.
	runs int
	// started says that the head of an answer was passed on, at firstByteAt.
	started     bool
	firstByteAt time.Time
	// events counts the events passed on. lastEventID is the id of the last event
	// that the caller has, also from an earlier request.
	events      int64
	lastEventID int64
	// deferredFor is how long it waited because all instances rested or named a limit.
	deferredFor time.Duration
	// suspicion is the evidence against the request before the latest attempt.
	suspicion suspicion
}

// run takes the request through its steps. The error is a *granitehoist.Error.
func (a *activeRequest) run(ctx context.Context) error {
	settings := &a.forwarder.settings
	var refused refusal
	a.admission, refused = identify(settings.Catalog.Get(), a.request, a.forwarder.stopped.Load(), rand.Float64())
	if refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	now := settings.Clock()
	ctx, cancel := settings.Deadlines.With(ctx, a.admission.deadline.Sub(now), now)
	defer cancel()
	if err := a.awaitEvidence(ctx); err != nil {
		return err
	}
	if err := a.checkSuspicion(); err != nil {
		return err
	}
	if err := a.reserve(ctx); err != nil {
		return err
	}
	err := a.forward(ctx)
	a.settle(err)
	return err
}

// reserve reserves the most that the request can cost.
func (a *activeRequest) reserve(ctx context.Context) error {
	plan, refused := planReservation(a.admission.workspace, a.request.Cost, a.admission.route.Target)
	a.admission.bound = plan.bound
	if refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	if !plan.needed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, plan.wait)
	defer cancel()
	a.progress.budget = a.forwarder.settings.Funds.Reserve(ctx, a.admission.workspace.Name, plan.bound, a.admission.priority)
	if refused := budgetRefusal(a.progress.budget.Outcome); refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	a.progress.reserved = true
	return nil
}

// timeLeft returns the time until the request's timeout.
func (a *activeRequest) timeLeft() time.Duration {
	return a.admission.deadline.Sub(a.forwarder.settings.Clock())
}

// settle charges the request and returns the other reserved tokens. err is the
// request's result.
func (a *activeRequest) settle(err error) {
	if !a.progress.reserved {
		return
	}
	a.progress.charged = settlement{
		cost:           *a.request.Cost,
		tokensPerEvent: a.admission.service.TokensPerEvent,
		events:         a.progress.events,
		runs:           a.progress.runs,
		complete:       err == nil,
	}.charge()
	a.forwarder.settings.Funds.Settle(a.admission.workspace.Name, a.admission.bound, a.progress.charged)
}

// forward makes attempts until one ends the request or no other may follow.
func (a *activeRequest) forward(ctx context.Context) error {
	settings := &a.forwarder.settings
	a.forwarder.retryBudgets.of(a.admission.service.Name).Earn(settings.Clock())
	afterEvent := a.request.LastEventID
	// failure is the error that the caller gets if no attempt follows.
	var failure error
	for {
		lease, err := a.pickRunning(ctx)
		if err != nil && failure != nil {
			return a.refusedForCaller(failure)
		}
		if err != nil {
			return err
		}
		verdict, err := a.attemptAt(ctx, lease, afterEvent)
		if err == nil {
			return nil
		}
		failure = errorForCaller(failure, err)
		if !verdict.allowed {
			return a.refusedForCaller(failure)
		}
		afterEvent = verdict.afterEvent
	}
}

// pick chooses the instance of the next attempt. The request may have become suspect while
// it waited for tokens or for the previous attempt, and its deadline may have passed while
// the machine was suspended, which no timer shows. Both are therefore checked last.
func (a *activeRequest) pick(ctx context.Context) (*balance.Lease, error) {
	if left := a.timeLeft(); left <= 0 {
		return nil, granitehoist.Errorf(granitehoist.DeadlineTooNear, "it passed %s ago", -left)
	}
	if err := a.awaitSettled(ctx); err != nil {
		return nil, err
	}
	lease, err := a.pickOrWait(ctx)
	if err != nil {
		return nil, withRetryAfter(err)
	}
	return lease, nil
}

// attemptAt makes one attempt at an instance and reports it to the table of
// instances and the log. It returns the attempt's error, nil if the answer was
// passed on completely, and whether another attempt may follow.
func (a *activeRequest) attemptAt(ctx context.Context, lease *balance.Lease, afterEvent int64) (retryVerdict, error) {
	settings := &a.forwarder.settings
	a.progress.tried[lease.ID] = true
	a.progress.attempts++
	sent := settings.Clock()
	result := a.attempt(ctx, lease, afterEvent)
	a.noteEvidence(ctx, lease, &result)
	a.countRun(result.err)
	verdict := a.nextAttempt(ctx, &result)
	if result.failure != nil && !verdict.allowed {
		result.err = a.passComplete(*result.failure)
	}
	ended := settings.Clock()
	lease.Done(instanceResult(&result, ctx.Err() != nil), ended)
	a.logAttempt(lease, &result, ended.Sub(sent))
	return verdict, result.err
}

// countRun counts an attempt that ran or may have run. err is its result.
func (a *activeRequest) countRun(err error) {
	if fateOf(err) != granitehoist.NotRun {
		a.progress.runs++
	}
}

// nextAttempt decides whether another attempt follows one that ended, and takes it
// from the service's retry budget if it must be paid from there.
func (a *activeRequest) nextAttempt(ctx context.Context, result *attemptResult) retryVerdict {
	if result.err == nil {
		return retryVerdict{}
	}
	now := a.forwarder.settings.Clock()
	verdict := decideRetry(retryInput{
		route:       a.admission.route,
		fate:        fateOf(result.err),
		unsent:      result.unsent,
		faulty:      result.reply == replyFaulty,
		ended:       ctx.Err() != nil,
		attempts:    a.progress.attempts,
		runs:        a.progress.runs,
		started:     a.progress.started,
		lastEventID: a.progress.lastEventID,
		timeLeft:    a.admission.deadline.Sub(now),
	})
	if verdict.allowed && verdict.usesRetryBudget && !result.retryPaid {
		verdict.allowed = a.payForRetry()
	}
	return verdict
}

// payForRetry takes one retry from the service's retry budget, and reports whether
// there was one.
func (a *activeRequest) payForRetry() bool {
	return a.forwarder.retryBudgets.of(a.admission.service.Name).Take(a.forwarder.settings.Clock())
}

// query returns the query for the instance of the next attempt.
func (a *activeRequest) query() balance.Query {
	query := balance.Query{
		Service:       a.admission.service.Name,
		Tried:         a.progress.tried,
		ColdPerSecond: a.admission.service.ColdPerSecond,
		Routers:       a.forwarder.settings.Routers(),
		Homes:         a.homes(),
		Pin:           a.pin(),
		Priority:      a.admission.priority,
	}
	if a.request.Cost == nil {
		return query
	}
	query.PromptTokens = a.request.Cost.Prompt
	query.Pause = a.admission.route.Pause
	if a.admission.route.Affinity {
		query.PrefixHash = balance.PrefixHash(a.request.PrefixParts)
		query.PrefixTokens = min(a.request.PrefixTokens, query.PromptTokens)
	}
	return query
}

// homes returns the regions that the route and the workspace allow; none, which is
// nearly always so, if they set no bound.
func (a *activeRequest) homes() []balance.Homes {
	var homes []balance.Homes
	if len(a.admission.route.Homes) > 0 {
		homes = append(homes, a.admission.route.Homes)
	}
	if a.admission.workspace != nil && len(a.admission.workspace.Homes) > 0 {
		homes = append(homes, a.admission.workspace.Homes)
	}
	return homes
}

// end logs and reports a request.
func (a *activeRequest) end(err error) {
	now := a.forwarder.settings.Clock()
	report := Report{Code: granitehoist.CodeOf(err), Attempts: a.progress.attempts, Budget: a.progress.budget.Outcome, Took: now.Sub(a.request.Arrived)}
	if a.admission.service != nil {
		report.Service = a.admission.service.Name
	}
	if a.admission.workspace != nil {
		report.Workspace = a.admission.workspace.Name
	}
	if !a.progress.firstByteAt.IsZero() {
		report.First = a.progress.firstByteAt.Sub(a.request.Arrived)
	}
	a.forwarder.settings.Ended(report)
	a.logEnd(report, err)
}
