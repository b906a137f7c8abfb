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

func (a *activeRequest) logEnd(report Report, err error) {
	fields := []zap.Field{
		zap.String("request", string(a.asked.ID)),
		zap.Int("code", int(report.Code)),
		zap.String("fate", string(a.fate(err))),
		zap.String("service", string(report.Service)),
		zap.String("workspace", string(report.Workspace)),
		zap.Int("attempts", a.progress.attempts),
		zap.Int64("events", a.progress.events),
		zap.Uint64("config", uint64(a.decided.version)),
		zap.Duration("first", report.First),
		zap.Duration("took", report.Took),
	}
	if a.decided.route != nil {
		fields = append(fields, zap.String("route", string(a.decided.route.Name)))
	}
	if a.decided.reserve > 0 {
		fields = append(fields, zap.Int64("bound", int64(a.decided.reserve)), zap.Int64("used", int64(a.progress.charged)), zap.String("budget", a.progress.budget.Outcome.String()),
			zap.Int64("free", int64(a.progress.budget.Free)), zap.Int64("rest", int64(a.progress.budget.StoreRemaining)),
			zap.Duration("rest_age", a.progress.budget.Age), zap.Duration("silent", a.progress.budget.Silent))
	}
	var e *granitehoist.Error
	if errors.As(err, &e) {
		fields = append(fields, zap.String("detail", e.Error()))
	}
	a.path.settings.Log.Info(event.Request, fields...)
}

// fate returns what is known of the execution of the whole request.
func (a *activeRequest) fate(err error) granitehoist.Fate {
	switch {
	case err == nil:
		return granitehoist.Ran
	case a.progress.runs == 0:
		return granitehoist.NotRun
	}
	return granitehoist.MayHaveRun
}

func (a *activeRequest) logAttempt(l *balance.Lease, result *attemptResult, took time.Duration) {
	fields := []zap.Field{
		zap.String("request", string(a.asked.ID)),
		zap.Int("attempt", a.progress.attempts),
		zap.String("upstream", string(l.ID)),
		zap.Uint64("entry", uint64(l.Version)),
		zap.Bool("home", l.Owner),
		zap.Int("load", l.Load),
		zap.Int("status", result.status),
		zap.Int64("after", a.progress.lastEventID),
		zap.Duration("took", took),
	}
	if result.err != nil {
		fields = append(fields, zap.Error(result.err))
	}
	a.path.settings.Log.Info(event.Attempt, fields...)
}
