// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
)

// The phases of a stop end at fixed fractions of the grace period between SIGTERM and
// SIGKILL.
const (
	// serveUntilFraction is the fraction of the grace period for which new requests are
	// still served: the load balancer needs two failed health checks, one second apart, to
	// notice that the node stops. A larger fraction would leave too little time to finish
	// streams. At 0.40, stops took 7.5 of 8 s and cut one to three streams.
	serveUntilFraction = 0.32
	// maxServeTime bounds the time for which new requests are still served. By then the
	// load balancer has noticed the stop.
	maxServeTime = 3 * time.Second
	// finishUntilFraction is the fraction of the grace period after which requests still
	// in progress are abandoned.
	finishUntilFraction = 0.95
	// answerTime is how long the stop waits at most for the answers to abandoned requests.
	answerTime = 100 * time.Millisecond
	// returnUntilFraction is the fraction of the grace period after which the return of
	// tokens is abandoned, shortly before the platform kills the process. The return may
	// last longer because of minReturnTime.
	returnUntilFraction = 0.97
	// minReturnTime is the minimum time for the return of tokens, even if requests ran
	// until finishUntilFraction: one call to a slow store. By itself it was too short for a
	// store that took 0.3 s for a call.
	minReturnTime = 300 * time.Millisecond
	// maxReturnTime bounds the return of tokens if more of the grace period remains:
	// about five calls to a slow store.
	maxReturnTime = 1500 * time.Millisecond
	// stopPollInterval is the interval at which a stop checks for requests still in
	// progress.
	stopPollInterval = 20 * time.Millisecond
)

// stopPhase says what a stopping node still does.
type stopPhase int

// The phases of a stop, in order.
const (
	// phaseServe: new requests are served; the node reports not ready, and responses ask
	// callers to reconnect.
	phaseServe stopPhase = iota
	// phaseFinish: new requests are refused as not run; those in progress continue.
	phaseFinish
	// phaseReturn: no request is in progress, or stopPlan.finishUntil has passed; tokens
	// are returned and the node removes its entry from the node list.
	phaseReturn
)

// stopPlan holds the times at which the phases of a stop end.
type stopPlan struct {
	// serveUntil ends phaseServe, finishUntil ends phaseFinish if requests are still in
	// progress, returnUntil ends the return of tokens.
	serveUntil  time.Time
	finishUntil time.Time
	returnUntil time.Time
}

// newStopPlan returns the plan of a stop that was ordered at start, with grace left until
// the process is killed.
func newStopPlan(start time.Time, grace time.Duration) stopPlan {
	at := func(fraction float64) time.Time { return start.Add(time.Duration(fraction * float64(grace))) }
	serveUntil := start.Add(min(at(serveUntilFraction).Sub(start), maxServeTime))
	return stopPlan{serveUntil: serveUntil, finishUntil: at(finishUntilFraction), returnUntil: at(returnUntilFraction)}
}

// phase returns the phase at now with the given number of requests in progress.
// phaseServe lasts until serveUntil even without requests, since the load balancer may
// still send some.
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

// returnTime returns the time limit for a return of tokens that begins at now. The return
// may last until minReturnTime after now even if returnUntil is earlier. The platform may
// kill the process before its end, but without the attempt the tokens would be lost too.
func (p stopPlan) returnTime(now time.Time) time.Duration {
	return max(minReturnTime, min(p.returnUntil.Sub(now), maxReturnTime))
}

// Stop stops a started node: it reports not ready, keeps serving while the load balancer
// may still send callers, finishes the requests in progress, returns its tokens and
// removes its entry from the node list, at the times of stopPlan. A second call waits for
// the first. Stop does not wait for the node's goroutines, since one that hangs must not
// delay the end of the process.
func (n *Node) Stop() { n.stopOnce.Do(n.stop) }

// stop runs the phases of a stop. Streams still in progress at its end are cut off.
func (n *Node) stop() {
	start := n.clock()
	grace := n.live.Load().grace
	plan := newStopPlan(start, grace)
	forwarder := n.components.forwarder
	n.stopping.Store(true)
	n.components.tunnels.Drain()
	n.log.Info(event.Stop, zap.Int("active", forwarder.Active()), zap.Duration("grace", grace))
	// The loop polls because the platform's grace period also runs while the machine is
	// suspended, which a single sleep would not notice.
	for plan.phase(n.clock(), n.active()) == phaseServe {
		time.Sleep(stopPollInterval)
	}
	// The listener stays open, so that late callers are told that their request was not
	// run.
	forwarder.Stop()
	for plan.phase(n.clock(), n.active()) != phaseReturn {
		time.Sleep(stopPollInterval)
	}
	abandoned := n.abandonRequests()
	n.returnTokens(plan)
	n.log.Info(event.Stopped, zap.Int("abandoned", abandoned), zap.Int("active", forwarder.Active()), zap.Duration("took", n.clock().Sub(start)))
	n.servers.closeHTTP()
	n.cancel()
	n.servers.calls.Close()
	n.components.tunnels.Close()
	n.components.pool.Close()
	// Connections to neighbours end with the process: a call in progress that failed
	// because stop closed its connection would be logged as a lost relay.
}

// abandonRequests ends the requests in progress and returns their number. It waits up to
// answerTime for their answers: a caller that got none could not tell whether its request ran,
// or when to stop waiting.
func (n *Node) abandonRequests() int {
	forwarder := n.components.forwarder
	abandoned := forwarder.Active()
	if abandoned == 0 {
		return 0
	}
	forwarder.Abandon()
	for end := n.clock().Add(answerTime); forwarder.Active() > 0 && n.clock().Before(end); {
		time.Sleep(stopPollInterval)
	}
	// net/http sends an answer after the request has ended for the forwarder.
	time.Sleep(stopPollInterval)
	return abandoned
}

// active returns the number of requests in progress, those of neighbours included that use
// a tunnel of this node. It closes the other tunnels.
func (n *Node) active() int {
	return n.components.forwarder.Active() + n.components.tunnels.CloseUnused(n.clock())
}

// returnTokens returns the unused tokens and removes the node's entry, within the time
// limit of the plan. Failures are logged: the budget then loses the tokens, or the entry
// stays until a router starts on this box again.
func (n *Node) returnTokens(plan stopPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), plan.returnTime(n.clock()))
	defer cancel()
	if err := n.components.syncer.Close(ctx); err != nil {
		n.log.Warn(event.ReturnFailed, zap.Error(err))
	}
	if err := n.components.peers.removeEntry(ctx); err != nil {
		n.log.Warn(event.LeaveFailed, zap.Error(err))
	}
}
