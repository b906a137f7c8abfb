// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
)

// A stop is planned as shares of the grace that the platform grants between
// SIGTERM and SIGKILL (8 s on today's sites).
const (
	// serveShare is how long new requests are still served, since the balancer
	// and the callers notice late that the node stops: 2.56 s of 8 s, above the
	// 2 s that the balancer takes for two questions without a 200. It was 0.40
	// until commit ed6e543: stops took 7.5 s of 8 s and cut one to three streams,
	// since new requests were taken for 3.2 s.
	serveShare = 0.32
	// finishShare is when requests still in progress are given up: 7.6 s of 8 s. Commit
	// ed6e543 raised it from 0.93 together with serveShare.
	finishShare = 0.95
	// returnShare is when the return of tokens is given up, 240 ms of 8 s before the
	// platform kills the process.
	returnShare = 0.97
	// minReturnTime is the least time for the return of tokens, also if requests ran until
	// finishShare. Before commit ed11c68 it was the only time, and too short for a store
	// that took 0.3 s a call.
	minReturnTime = 300 * time.Millisecond
	// maxReturnTime bounds the return if more of the grace remains: five calls of
	// such a store. Chosen with commit ed11c68, not measured on its own.
	maxReturnTime = 1500 * time.Millisecond
	// stopPollInterval is how often a stop checks whether requests are still in progress:
	// short compared with the grace.
	stopPollInterval = 20 * time.Millisecond
)

// stopPhase is a phase of a stop.
type stopPhase int

// The phases of a stop, in their order.
const (
	// phaseServe: new requests are still served; the node is not ready, and
	// answers ask the callers to reconnect.
	phaseServe stopPhase = iota
	// phaseFinish: new requests are refused as not run, those in progress go on.
	phaseFinish
	// phaseReturn: nothing is in progress, or its time is over; tokens are
	// returned and the node removes its entry from the list.
	phaseReturn
)

// stopPlan holds the times of a stop. All follow from the order to stop and the
// grace.
type stopPlan struct {
	// serveUntil ends phaseServe, finishUntil ends phaseFinish if requests are
	// still in progress, and returnUntil ends the return of tokens.
	serveUntil  time.Time
	finishUntil time.Time
	returnUntil time.Time
}

// newStopPlan returns the plan of a stop that was ordered at start, with grace
// until the process is killed.
func newStopPlan(start time.Time, grace time.Duration) stopPlan {
	at := func(share float64) time.Time { return start.Add(time.Duration(share * float64(grace))) }
	return stopPlan{serveUntil: at(serveShare), finishUntil: at(finishShare), returnUntil: at(returnShare)}
}

// phase returns the phase at now with the given number of requests in progress.
// New requests are served until serveUntil even if none is in progress, since
// the balancer may still send some.
func (p stopPlan) phase(now time.Time, active int) stopPhase {
	switch {
	case now.Before(p.serveUntil):
		return phaseServe
	case active > 0 && now.Before(p.finishUntil):
		return phaseFinish
	default:
		return phaseReturn
	}
}

// returnTime returns how long the return of tokens that begins at now may take.
// It may end up to minReturnTime after returnUntil: the process may be killed by
// then, but without the attempt the tokens would be lost in any case.
func (p stopPlan) returnTime(now time.Time) time.Duration {
	return max(minReturnTime, min(p.returnUntil.Sub(now), maxReturnTime))
}

// Stop stops a node that was started. The node is no longer ready, goes on serving
// while the balancer may still send callers, finishes the requests in progress,
// returns its tokens and removes its entry from the list of nodes, at the times of
// stopPlan. Stop returns when that is done; a second call waits for the first. It
// does not wait for the node's goroutines: the process ends after it, and one that
// hangs must not delay that.
func (n *Node) Stop() { n.stopping.Do(n.stop) }

// stop goes through the phases of a stop. Requests still in progress at its end
// are cut off when the callers' connections close.
func (n *Node) stop() {
	start := n.clock()
	grace := n.live.Load().grace
	plan := newStopPlan(start, grace)
	forwarder := n.parts.forwarder
	n.leaving.Store(true)
	n.log.Info(event.Stop, zap.Int("active", forwarder.Active()), zap.Duration("grace", grace))
	// phaseServe has one length, whatever happens in it. The platform counts the grace
	// also while the machine is suspended, which one long sleep would not.
	for plan.phase(n.clock(), forwarder.Active()) == phaseServe {
		time.Sleep(stopPollInterval)
	}
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
// the time that the plan gives it. Failures are logged: the budget then loses the
// tokens, or the entry stays until a router starts on this box again.
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
