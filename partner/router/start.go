// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/pause"
)

// Start begins to serve callers and operators, and to follow the store.
func (r *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.loops.Go(func() { r.follow(ctx) })
	r.loops.Go(func() { r.refresh(ctx) })
	r.loops.Go(func() { r.parts.agent.Run(ctx) })
	r.loops.Go(func() { r.parts.sender.Run(ctx) })
	r.loops.Go(func() { r.settleOrphans(ctx) })
	r.loops.Go(func() { r.watchLeaving(ctx) })
	r.loops.Go(func() { r.serve("callers", r.servers.callers) })
	r.loops.Go(func() { r.serve("admin", r.servers.admin) })
	r.settings.Log.Info("started",
		zap.String("incarnation", string(r.self.Incarnation)),
		zap.String("callers", r.CallersAddress()),
		zap.String("peers", r.self.Peers),
		zap.String("admin", r.AdminAddress()))
}

// enrollPause is the time between tries to enter the router in the store.
const enrollPause = 500 * time.Millisecond

// follow enters the router among those that may serve, and only then reads the
// documents; before that it has none and serves nothing. An operator who asks
// whether a document is accepted thus waits for every router that may serve.
func (r *Router) follow(ctx context.Context) {
	for {
		err := r.store.members.Enroll(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		r.logFailure("fleet_failed", err)
		pause.For(ctx, enrollPause)
		if ctx.Err() != nil {
			return
		}
	}
	r.store.documents.Run(ctx)
}

// refresh keeps the router's entry and its view of the others. While the store
// does not answer, the last view stays in use.
func (r *Router) refresh(ctx context.Context) {
	ticker := time.NewTicker(r.store.members.Interval())
	defer ticker.Stop()
	for {
		if err := r.store.members.Refresh(ctx); err != nil && ctx.Err() == nil {
			r.logFailure("fleet_failed", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
