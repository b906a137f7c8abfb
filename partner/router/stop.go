// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// Stop ends the router without cutting a request: it says that it is not ready
// and goes on serving until balancers have seen that, then refuses new requests
// as not run, waits for those in progress, gives its tokens back and brings its
// charges into the store. If ctx ends first it goes on with the
// next step at once and returns what it left undone.
func (r *Router) Stop(ctx context.Context) error {
	r.settings.Log.Info("stopping")
	r.gate.Unready()
	r.registry.Leave()
	var undone []error
	step := func(name string, err error) {
		if err != nil {
			r.settings.Log.Error("stop_incomplete", zap.String("step", name), zap.Error(err))
			undone = append(undone, err)
		}
	}
	step("leave", r.registry.Refresh(ctx))
	r.waitUnready(ctx)
	r.gate.Drain()
	err := r.callers.Shutdown(ctx)
	step("requests", err)
	if err != nil {
		_ = r.callers.Close()
	}
	r.gate.Wait()
	if r.cancel != nil {
		r.cancel()
	}
	step("tokens", r.agent.Close(ctx))
	step("bills", r.sender.Flush(ctx))
	step("entry", r.registry.Remove(ctx))
	r.close()
	r.settings.Log.Info("stopped", zap.Int("charges_left", r.ledger.Pending()))
	return errors.Join(undone...)
}

// waitUnready gives balancers time to see that the router is not ready.
func (r *Router) waitUnready(ctx context.Context) {
	select {
	case <-time.After(time.Duration(r.settings.Router.Limits.Unready)):
	case <-ctx.Done():
	}
}

// Kill ends the router at once, as a crash would: nothing is given back and no
// charge is sent.
func (r *Router) Kill() {
	if r.cancel != nil {
		r.cancel()
	}
	_ = r.callers.Close()
	r.close()
}

func (r *Router) close() {
	// The errors are of listeners and connections that are being given up.
	_ = r.admin.Close()
	_ = r.callersListener.Close()
	_ = r.adminListener.Close()
	r.server.Close()
	r.client.Close()
	r.loops.Wait()
}
