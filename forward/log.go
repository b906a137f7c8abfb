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

// logEnd logs the end of a request.
func (a *activeRequest) logEnd(report Report, err error) {
	fields := []zap.Field{
		zap.String("request", string(a.request.ID)),
		zap.Int("code", int(report.Code)),
		zap.String("fate", string(requestFate(err, a.progress.runs))),
		zap.String("service", string(report.Service)),
		zap.String("workspace", string(report.Workspace)),
		zap.Int("attempts", a.progress.attempts),
		zap.Int64("events", a.progress.events),
		zap.Uint64("config", uint64(a.admission.version)),
		zap.Duration("first", report.First),
		zap.Duration("took", report.Took),
	}
	if a.admission.route != nil {
		fields = append(fields, zap.String("route", string(a.admission.route.Name)))
	}
	if a.admission.bound > 0 {
		fields = append(fields, a.budgetFields()...)
	}
	if a.progress.deferredFor > 0 {
		fields = append(fields, zap.Duration("permit_wait", a.progress.deferredFor))
	}
	if ofScope := a.progress.suspicion.ofScope; ofScope.Refused {
		fields = append(fields, zap.Int("scope_round", ofScope.Round), zap.Duration("scope_left", ofScope.Left))
	}
	if a.progress.suspicion.verdict.Round > 0 {
		fields = append(fields, a.suspicionFields()...)
	}
	var e *granitehoist.Error
	if errors.As(err, &e) {
		fields = append(fields, zap.String("detail", e.Error()))
	}
	a.forwarder.settings.Log.Info(event.Request, fields...)
}

// suspicionFields returns the evidence against the request when it was last looked up.
// "digest" is the same whenever the same request arrives, whatever its id.
func (a *activeRequest) suspicionFields() []zap.Field {
	return []zap.Field{
		zap.Stringer("digest", a.progress.suspicion.digest),
		zap.Int("round", a.progress.suspicion.verdict.Round),
		zap.Int("early", a.progress.suspicion.verdict.Early),
		zap.Int("crashes", a.progress.suspicion.verdict.Crashes),
		zap.Duration("left", a.progress.suspicion.verdict.Left),
	}
}

// budgetFields returns what was reserved and charged, and the state of the budget
// on this box when the tokens were reserved. "bound" and "used" are the reserved
// and the charged tokens, "rest" what the store's record had left.
func (a *activeRequest) budgetFields() []zap.Field {
	budget := a.progress.budget
	return []zap.Field{
		zap.Int64("bound", int64(a.admission.bound)),
		zap.Int64("used", int64(a.progress.charged)),
		zap.String("budget", budget.Outcome.String()),
		zap.Int64("free", int64(budget.Free)),
		zap.Int64("rest", int64(budget.StoreRemaining)),
		zap.Duration("rest_age", budget.Age),
		zap.Duration("silent", budget.Silent),
	}
}

// saidFields returns what an answer says of its upstream, each field only if it says so.
func saidFields(said balance.Statement) []zap.Field {
	var fields []zap.Field
	if said.Rate.Stated() {
		fields = append(fields, zap.Stringer("limit", said.Rate))
	}
	if said.Leaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	if said.Rest > 0 {
		fields = append(fields, zap.Duration("rest", said.Rest))
	}
	return fields
}

// logAttempt logs an attempt. took is the time from before it was sent to its end.
// "crashed" says that the upstream crashed under it.
func (a *activeRequest) logAttempt(l *balance.Lease, result *attemptResult, took time.Duration) {
	fields := []zap.Field{
		zap.String("request", string(a.request.ID)),
		zap.Int("attempt", a.progress.attempts),
		zap.String("upstream", string(l.ID)),
		zap.Uint64("entry", uint64(l.Version)),
		zap.Bool("home", l.Owner),
		zap.Int("load", l.Load),
		zap.Bool("heavy", l.Heavy),
		zap.Bool("slow", l.Slow),
		zap.Duration("pause", l.LongestPause()),
		zap.Int("status", result.status),
		zap.Int64("after", a.progress.lastEventID),
		zap.Duration("took", took),
	}
	if result.err != nil {
		fields = append(fields, zap.Error(result.err))
	}
	fields = append(fields, saidFields(result.said)...)
	if result.crashed {
		fields = append(fields, zap.Bool("crashed", true))
	}
	a.forwarder.settings.Log.Info(event.Attempt, fields...)
}
