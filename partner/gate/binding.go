// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/once"
)

// bindingTimeout bounds the write that finishes or releases a binding. The write goes on
// if the caller disconnects.
const bindingTimeout = 2 * time.Second

// bind records in the store that this router sends a request that is not to be repeated.
// After an error the request must not be sent.
func (g *Gate) bind(ctx context.Context, req *request, id granitehoist.AttemptID) (*once.Binding, error) {
	identity := req.input.identity
	key := once.RequestKey{Partner: identity.Partner, Workspace: identity.Workspace, Request: req.input.id}
	return g.settings.Once.Bind(ctx, key, id, g.settings.Clock())
}

// finishBinding records that a bound request got a response. It does nothing if b is nil, as
// for requests that are not bound. On error the record stays bound, and later requests with
// the same id fail with OnceUnsure.
func (g *Gate) finishBinding(ctx context.Context, req *request, b *once.Binding) {
	if b == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bindingTimeout)
	defer cancel()
	if err := b.Finish(ctx, req.sink.status, g.settings.Clock()); err != nil {
		g.settings.Log.Warn("once_record", zap.String("request", string(req.input.id)), zap.Error(err))
	}
}

// releaseBinding releases a binding if err says that the request did not run, so that the
// caller may repeat the request. It returns err. If the release fails the record stays bound.
func (g *Gate) releaseBinding(ctx context.Context, b *once.Binding, err error) error {
	if b == nil || granitehoist.CodeOf(err).Info().Execution != granitehoist.NotRun {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bindingTimeout)
	defer cancel()
	if failed := b.Release(ctx, g.settings.Clock()); failed != nil {
		g.settings.Log.Warn("once_release", zap.Error(failed))
	}
	return err
}
