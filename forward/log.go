// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/internal/event"
)

// minUnreadLogged is the shortest time unread that is logged.
const minUnreadLogged = 20 * time.Millisecond

// logEnd logs the end of a request. "fate" is whether the request ran, "first" the time to
// the response head. The keys of log lines stay for compatibility.
func (a *activeRequest) logEnd(report Report, err error) {
	fields := []zap.Field{
		zap.String("request", string(a.request.ID)),
		zap.Int("code", int(report.Code)),
		zap.String("fate", string(requestExecution(err, a.progress.runs))),
		zap.String("service", string(report.Service)),
		zap.String("workspace", string(report.Workspace)),
		zap.Int("attempts", a.progress.attempts),
		zap.Int64("events", a.progress.events),
		zap.Uint64("config", a.admission.version.Revision()),
		zap.Duration("first", report.TimeToFirstByte),
		zap.Duration("took", report.Duration),
	}
	if a.admission.route != nil {
		fields = append(fields, zap.String("route", string(a.admission.route.Name)))
	}
	if a.request.Unread >= minUnreadLogged {
		fields = append(fields, zap.Duration("unread", a.request.Unread))
	}
	if a.admission.maxCost > 0 {
		fields = append(fields, a.budgetFields()...)
	}
	if !a.request.LastEventID.IsNone() {
		fields = append(fields, zap.String("resumes", string(a.request.Resumes)), zap.Stringer("resumed_after", a.request.LastEventID))
	}
	if a.progress.origin != nil {
		fields = append(fields, zap.String("release", string(a.progress.origin.Release)))
	}
	if a.progress.deferredFor > 0 {
		fields = append(fields, zap.Duration("permit_wait", a.progress.deferredFor))
	}
	if scope := a.progress.suspectStatus.scopeVerdict; scope.Refused {
		fields = append(fields, zap.Int("scope_round", scope.Round), zap.Duration("scope_left", scope.BlockRemaining))
	}
	if part := a.progress.suspectStatus.partsVerdict; part.Strongest.Refused {
		fields = append(fields, zap.Stringer("part", part.Part), zap.Int("part_round", part.Strongest.Round), zap.Duration("part_left", part.Strongest.BlockRemaining))
	}
	if a.progress.suspectStatus.verdict.Round > 0 {
		fields = append(fields, a.suspectFields()...)
	}
	var e *granitehoist.Error
	if errors.As(err, &e) {
		fields = append(fields, zap.String("detail", e.Error()))
	}
	a.forwarder.settings.Log.Info(event.Request, fields...)
}

// suspectFields returns the crash records of the request as of the latest lookup.
// "digest" identifies the content of a request, whatever its id.
func (a *activeRequest) suspectFields() []zap.Field {
	return []zap.Field{
		zap.Stringer("digest", a.progress.suspectStatus.digest),
		zap.Int("round", a.progress.suspectStatus.verdict.Round),
		zap.Int("early", a.progress.suspectStatus.verdict.EarlyRound),
		zap.Int("crashes", a.progress.suspectStatus.verdict.Crashes),
		zap.Duration("left", a.progress.suspectStatus.verdict.BlockRemaining),
	}
}

// budgetFields returns the maximum cost ("bound") and the charged tokens ("used"), and
// the state of the budget on this box at the time of the reservation. "rest" is the
// remaining balance in the store, "silent" how long neither the store nor a lender has
// responded.
func (a *activeRequest) budgetFields() []zap.Field {
	budget := a.progress.budget
	return []zap.Field{
		zap.Int64("bound", int64(a.admission.maxCost)),
		zap.Int64("used", int64(a.progress.charged)),
		zap.String("budget", budget.Outcome.String()),
		zap.Int64("free", int64(budget.Free)),
		zap.Int64("rest", int64(budget.StoreRemaining)),
		zap.Duration("rest_age", budget.Age),
		zap.Duration("silent", budget.StoreUnresponsiveFor),
	}
}

// feedbackFields returns what a response states about its instance, without fields that
// the response does not state. "rest" is the requested backoff.
func feedbackFields(s balance.Feedback) []zap.Field {
	var fields []zap.Field
	if s.Rate.Stated() {
		fields = append(fields, zap.Stringer("limit", s.Rate))
	}
	if s.Leaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	if s.Backoff > 0 {
		fields = append(fields, zap.Duration("rest", s.Backoff))
	}
	if s.RejectionLimit > 0 {
		fields = append(fields, zap.Int("rejection_limit", s.RejectionLimit))
	}
	return fields
}

// proofFields returns what tells whether an attempt ran and whose response it got. Fields
// that don't apply are left out.
func proofFields(result *attemptResult) []zap.Field {
	var fields []zap.Field
	if reason := result.notRunReason(); reason != NotRunUnproven {
		fields = append(fields, zap.String("not_run", string(reason)))
	}
	if result.trace.Stale > 0 {
		fields = append(fields, zap.Int("stale", result.trace.Stale))
	}
	if result.trace.Early {
		fields = append(fields, zap.Bool("early", true))
	}
	if result.trace.Detour {
		fields = append(fields, zap.Bool("detour", true))
	}
	return fields
}

// logAttempt logs an attempt. took is its duration, from before the request was sent.
// "release" is the version of the instance's software, "entry" that of its entry, "home"
// whether the instance owns the prefix of the prompt, "pause" the longest gap between events, and "after" the last event
// that the caller has. "crosses" and "why" are logged if the instance is in another zone or
// region, "crashed" if the upstream crashed during the attempt, "ejected" if it was ejected
// and no other could be chosen. "exchange" is the number of the request on its connection,
// zero without one, "stale" the number of answers to other requests that came first, and
// "not_run" why the router concludes that the attempt did not run.
func (a *activeRequest) logAttempt(l *balance.Lease, result *attemptResult, took time.Duration) {
	fields := []zap.Field{
		zap.String("request", string(a.request.ID)),
		zap.Int("attempt", a.progress.attempts),
		zap.String("upstream", string(l.ID)),
		zap.String("release", string(l.Release)),
		zap.Uint64("entry", l.Version.Revision()),
		zap.Bool("home", l.PrefixOwner),
		zap.Int("load", l.Load),
		zap.Bool("heavy", l.Heavy),
		zap.Bool("slow", l.Slow),
		zap.Duration("pause", l.LongestEventGap()),
		zap.Int("status", result.status),
		zap.Stringer("after", a.progress.lastEventID),
		zap.Duration("took", took),
		zap.Int("exchange", result.trace.Exchange),
	}
	if result.err != nil {
		fields = append(fields, zap.Error(result.err))
	}
	fields = append(fields, proofFields(result)...)
	if l.Ejected {
		fields = append(fields, zap.Bool("ejected", true))
	}
	fields = append(fields, feedbackFields(result.feedback)...)
	if result.crashed {
		fields = append(fields, zap.Bool("crashed", true))
	}
	a.forwarder.settings.Log.Info(event.Attempt, fields...)
}
