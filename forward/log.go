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

func (w *activeRequest) logEnd(report Report, err error) {
	fields := []zap.Field{
		zap.String("request", string(w.asked.ID)),
		zap.Int("code", int(report.Code)),
		zap.String("fate", string(w.fate(err))),
		zap.String("service", string(report.Service)),
		zap.String("workspace", string(report.Workspace)),
		zap.Int("attempts", w.attempts),
		zap.Int64("events", w.eventsPassed),
		zap.Uint64("config", uint64(w.version)),
		zap.Duration("first", report.First),
		zap.Duration("took", report.Took),
	}
	if w.route != nil {
		fields = append(fields, zap.String("route", string(w.route.Name)))
	}
	if w.reserved > 0 {
		fields = append(fields, zap.Int64("bound", int64(w.reserved)), zap.Int64("used", int64(w.charged)), zap.String("budget", w.budgetAnswer.Outcome.String()),
			zap.Int64("free", int64(w.budgetAnswer.Free)), zap.Int64("rest", int64(w.budgetAnswer.StoreRemaining)),
			zap.Duration("rest_age", w.budgetAnswer.Age), zap.Duration("silent", w.budgetAnswer.Silent))
	}
	var e *granitehoist.Error
	if errors.As(err, &e) {
		fields = append(fields, zap.String("detail", e.Error()))
	}
	w.path.settings.Log.Info(event.Request, fields...)
}

// fate returns what is known of the execution of the whole request.
func (w *activeRequest) fate(err error) granitehoist.Fate {
	switch {
	case err == nil:
		return granitehoist.Ran
	case w.runs == 0:
		return granitehoist.NotRun
	}
	return granitehoist.MayHaveRun
}

func (w *activeRequest) logAttempt(l *balance.Lease, e attemptResult, took time.Duration) {
	fields := []zap.Field{
		zap.String("request", string(w.asked.ID)),
		zap.Int("attempt", w.attempts),
		zap.String("upstream", string(l.ID)),
		zap.Uint64("entry", uint64(l.Version)),
		zap.Bool("home", l.Owner),
		zap.Int("load", l.Load),
		zap.Int("status", e.status),
		zap.Int64("after", w.lastEventID),
		zap.Duration("took", took),
	}
	if e.err != nil {
		fields = append(fields, zap.Error(e.err))
	}
	w.path.settings.Log.Info(event.Attempt, fields...)
}
