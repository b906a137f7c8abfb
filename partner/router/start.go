// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/pause"
)

// Start begins to serve callers and operators and to follow the store, in goroutines that
// end with Stop or Kill.
func (r *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.goroutines.Go(func() { r.follow(ctx) })
	r.goroutines.Go(func() { r.refresh(ctx) })
	r.goroutines.Go(func() { r.components.agent.Run(ctx) })
	r.goroutines.Go(func() { r.components.sender.Run(ctx) })
	r.goroutines.Go(func() { r.settleOrphans(ctx) })
	r.goroutines.Go(func() { r.watchLeaving(ctx) })
	r.goroutines.Go(func() { r.serve("callers", r.servers.callers) })
	r.goroutines.Go(func() { r.serve("admin", r.servers.admin) })
	r.settings.Log.Info("started",
		zap.String("incarnation", string(r.self.Incarnation)),
		zap.String("callers", r.CallersAddress()),
		zap.String("peers", r.self.PeerAddress),
		zap.String("admin", r.AdminAddress()))
}

// registerRetryInterval is the time between attempts to register the router in the store.
const registerRetryInterval = 500 * time.Millisecond

// follow registers the router and only then begins to read the documents. Without
// documents it serves no requests, so every router that may be serving is registered and
// is counted when an operator asks whether a document is accepted.
func (r *Router) follow(ctx context.Context) {
	for {
		err := r.store.members.RegisterServing(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		r.logFailure("fleet_failed", err)
		pause.For(ctx, registerRetryInterval)
		if ctx.Err() != nil {
			return
		}
	}
	r.store.documents.Run(ctx)
}

// refresh periodically renews the router's entry and its view of the fleet. While the
// store is unavailable, the last view stays in use.
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
