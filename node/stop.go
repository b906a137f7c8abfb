// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
)

// Stop stops a node that was started: it is no longer ready, serves on while the
// balancer may still send callers, finishes what is in progress, returns its
// tokens and takes its entry off the list of nodes. The times are those of
// stopPlan. Stop returns when that is done; calls while it runs wait for it. It
// does not wait for the node's goroutines, since the process ends after it and
// one that hangs must not hold it up.
func (n *Node) Stop() { n.stopping.Do(n.stop) }

// stop goes through the phases of a stop. Requests still in progress at its end
// are cut off when the callers' connections close.
func (n *Node) stop() {
	start := n.clock()
	plan := newStopPlan(start, n.config.Grace)
	forwarder := n.parts.forwarder
	n.leaving.Store(true)
	n.log.Info(event.Stop, zap.Int("active", forwarder.Active()), zap.Duration("grace", n.config.Grace))
	// phaseServe has one length, whatever happens in it.
	time.Sleep(plan.serveUntil.Sub(n.clock()))
	// The listener stays open, so that a caller that still arrives gets the
	// answer that its request was not run.
	forwarder.Stop()
	for plan.phase(n.clock(), forwarder.Active()) != phaseReturn {
		time.Sleep(stopPollInterval)
	}
	n.returnTokens(plan)
	n.log.Info(event.Stopped, zap.Int("active", forwarder.Active()), zap.Duration("took", n.clock().Sub(start)))
	n.servers.closeHTTP()
	n.cancel()
	n.servers.calls.Close()
	n.parts.pool.Close()
	// Connections to neighbours end with the process: a call in progress that
	// failed on one closed here would be logged as a lost relay.
}

// returnTokens returns the tokens that are free and removes the node's entry, in
// the time that the plan leaves. What fails is logged: the tokens are then lost
// to the budget, and the entry stays until a router starts on this box again.
func (n *Node) returnTokens(plan stopPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), plan.returnTime(n.clock()))
	defer cancel()
	if err := n.parts.syncer.Close(ctx); err != nil {
		n.log.Warn(event.ReturnFailed, zap.Error(err))
	}
	if err := n.parts.peers.removeEntry(ctx); err != nil {
		n.log.Warn(event.LeaveFailed, zap.Error(err))
	}
}
