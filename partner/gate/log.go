// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"errors"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
)

// logAttempt writes the event "attempt", one for each attempt that failed.
func (g *Gate) logAttempt(req *request, id granitehoist.AttemptID, u granitehoist.Upstream, err error) {
	g.settings.Log.Info("attempt",
		zap.String("request", string(req.asked.id)),
		zap.String("attempt", string(id)),
		zap.String("upstream", string(u)),
		zap.Int("code", int(granitehoist.CodeOf(err))),
		zap.Error(err))
}

// logResult writes the event "request", one for each request.
func (g *Gate) logResult(req *request, err error) {
	code := granitehoist.CodeOf(err)
	fields := []zap.Field{
		zap.String("request", string(req.asked.id)),
		zap.String("workspace", string(req.asked.identity.Partner)+"/"+string(req.asked.identity.Workspace)),
		zap.Int("code", int(code)),
		zap.String("fate", string(code.Info().Fate)),
		zap.Duration("took", g.settings.Clock().Sub(req.asked.began)),
	}
	if req.asked.offer != nil {
		fields = append(fields, zap.String("service", string(req.asked.offer.Name)))
	}
	var e *granitehoist.Error
	if errors.As(err, &e) {
		fields = append(fields, zap.String("detail", e.Error()))
	}
	g.settings.Log.Info("request", fields...)
}
