// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"errors"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
)

// logAttempt logs the event "attempt" for a failed attempt.
func (g *Gate) logAttempt(req *request, id granitehoist.AttemptID, u granitehoist.Upstream, err error) {
	g.settings.Log.Info("attempt",
		zap.String("request", string(req.input.id)),
		zap.String("attempt", string(id)),
		zap.String("upstream", string(u)),
		zap.Int("code", int(granitehoist.CodeOf(err))),
		zap.Error(err))
}

// logResult logs the event "request", once for each request.
func (g *Gate) logResult(req *request, err error) {
	code := granitehoist.CodeOf(err)
	fields := []zap.Field{
		zap.String("request", string(req.input.id)),
		zap.String("workspace", string(req.input.identity.Partner)+"/"+string(req.input.identity.Workspace)),
		zap.Int("code", int(code)),
		zap.String("fate", string(code.Info().Execution)),
		zap.Duration("took", g.settings.Clock().Sub(req.input.startedAt)),
	}
	if req.input.offer != nil {
		fields = append(fields, zap.String("service", string(req.input.offer.Name)))
	}
	var e *granitehoist.Error
	if errors.As(err, &e) {
		fields = append(fields, zap.String("detail", e.Error()))
	}
	g.settings.Log.Info("request", fields...)
}
