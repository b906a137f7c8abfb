// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/pause"
)

// Stop shuts the router down gracefully. It reports not ready, continues to serve for the
// ReadinessDelay, rejects new requests, waits for the requests in progress, returns its
// tokens and writes its charges to the store. If ctx ends first, each remaining step is
// cut short. The error joins the errors of all failed steps.
func (r *Router) Stop(ctx context.Context) error {
	r.settings.Log.Info("stopping")
	failures := stopFailures{log: r.settings.Log}
	r.components.gate.MarkUnready()
	r.store.members.Leave()
	failures.add("leave", r.store.members.Refresh(ctx))
	// Load balancers need time to notice that the router is not ready.
	pause.For(ctx, time.Duration(r.settings.Router.Limits.ReadinessDelay))
	r.components.gate.Drain()
	// If ctx ends first, the requests in progress are aborted.
	failures.add("requests", r.servers.callers.Shutdown(ctx))
	r.components.gate.Wait()
	if r.cancel != nil {
		r.cancel()
	}
	failures.add("tokens", r.components.agent.Close(ctx))
	failures.add("bills", r.components.sender.Flush(ctx))
	failures.add("entry", r.store.members.Remove(ctx))
	r.close()
	r.settings.Log.Info("stopped", zap.Int("charges_left", r.components.ledger.Pending()))
	return errors.Join(failures.errs...)
}

// stopFailures logs and collects the errors of the steps of a stop.
type stopFailures struct {
	log  *zap.Logger
	errs []error
}

// add records the error of a step; nil is ignored.
func (s *stopFailures) add(name string, err error) {
	if err == nil {
		return
	}
	s.log.Error("stop_incomplete", zap.String("step", name), zap.Error(err))
	s.errs = append(s.errs, err)
}

// Kill stops the router at once, like a crash: no tokens are returned and no charges are
// sent. After Stop it has no effect.
func (r *Router) Kill() {
	if r.cancel != nil {
		r.cancel()
	}
	r.servers.callers.Close()
	r.close()
}

// close closes the remaining servers and waits for the background goroutines. The
// callers' server must be closed already.
func (r *Router) close() {
	r.servers.admin.Close()
	r.servers.peers.Close()
	r.components.client.Close()
	r.goroutines.Wait()
}
