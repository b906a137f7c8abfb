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

// Stop ends the router without cutting a request. It makes the router unready
// but serves on until balancers have seen that, then refuses new requests as not
// run, waits for those in progress, gives its tokens back and brings its charges
// into the store. If ctx ends first it goes on with the next step at once; the
// error joins those of all steps that failed.
func (r *Router) Stop(ctx context.Context) error {
	r.settings.Log.Info("stopping")
	undone := stopSteps{log: r.settings.Log}
	r.parts.gate.Unready()
	r.store.members.Leave()
	undone.add("leave", r.store.members.Refresh(ctx))
	// Balancers need time to see that the router is not ready.
	pause.For(ctx, time.Duration(r.settings.Router.Limits.Unready))
	r.parts.gate.Drain()
	// If ctx ends first the requests in progress are cut.
	undone.add("requests", r.servers.callers.Shutdown(ctx))
	r.parts.gate.Wait()
	if r.cancel != nil {
		r.cancel()
	}
	undone.add("tokens", r.parts.agent.Close(ctx))
	undone.add("bills", r.parts.sender.Flush(ctx))
	undone.add("entry", r.store.members.Remove(ctx))
	r.close()
	r.settings.Log.Info("stopped", zap.Int("charges_left", r.parts.ledger.Pending()))
	return errors.Join(undone.errs...)
}

// stopSteps collects the steps of a stop that failed.
type stopSteps struct {
	log  *zap.Logger
	errs []error
}

func (s *stopSteps) add(name string, err error) {
	if err == nil {
		return
	}
	s.log.Error("stop_incomplete", zap.String("step", name), zap.Error(err))
	s.errs = append(s.errs, err)
}

// Kill ends the router at once, as a crash would: nothing is given back and no
// charge is sent. It may be called after Stop, and then does nothing.
func (r *Router) Kill() {
	if r.cancel != nil {
		r.cancel()
	}
	r.servers.callers.Close()
	r.close()
}

// close ends the other servers and waits for the loops. The callers' server is
// closed by then.
func (r *Router) close() {
	r.servers.admin.Close()
	r.servers.peers.Close()
	r.parts.client.Close()
	r.loops.Wait()
}
