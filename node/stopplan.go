// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "time"

// A stop is planned as shares of the grace that the platform grants between
// SIGTERM and SIGKILL (8 s on today's sites).
const (
	// serveShare is how long new requests are still served, since the balancer
	// and the callers notice late that the node leaves: 2.56 s of 8 s, above the
	// 2 s that the balancer takes for two questions without a 200. It was 0.40
	// until commit ed6e543: stops took 7.5 s of 8 s and cut one to three streams,
	// since new requests were taken for 3.2 s.
	serveShare = 0.32
	// finishShare is when requests still in progress are given up: 7.6 s of 8 s.
	// Commit ed6e543 raised it from 0.93 together with serveShare. Chosen, not
	// measured on its own.
	finishShare = 0.95
	// returnShare is when the return of tokens is given up, 240 ms of 8 s before
	// the platform kills the process. Chosen, not measured.
	returnShare = 0.97
	// minReturnTime is what the return of tokens gets even if requests ran until
	// finishShare. Commit ed11c68: it was all that a return got before, and
	// failed against a store that took 0.3 s a call; it is the least since.
	minReturnTime = 300 * time.Millisecond
	// maxReturnTime bounds the return where more of the grace is left: five
	// calls of such a store. Chosen with commit ed11c68, not measured on its own.
	maxReturnTime = 1500 * time.Millisecond
	// stopPollInterval is how often a stop looks whether requests are still in
	// progress. Chosen, not measured: short beside the grace.
	stopPollInterval = 20 * time.Millisecond
)

// stopPhase is what a node that stops does at a moment.
type stopPhase int

// The phases of a stop, in their order.
const (
	// phaseServe: new requests are still served; the node is not ready, and
	// answers ask the callers to connect anew.
	phaseServe stopPhase = iota
	// phaseFinish: new requests are refused as not run, those in progress go on.
	phaseFinish
	// phaseReturn: nothing is in progress, or its time is over; tokens are
	// returned and the node takes its entry off the list.
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
// It may go beyond returnUntil by up to minReturnTime: the process may be killed
// then, but without the attempt the tokens are lost for certain.
func (p stopPlan) returnTime(now time.Time) time.Duration {
	return max(minReturnTime, min(p.returnUntil.Sub(now), maxReturnTime))
}
