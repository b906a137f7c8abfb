// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"math"
	"time"
)

// Fractions of an order's duration.
const (
	// canaryFraction ends the canary stage. Requests to a bad release count until the
	// deadline, so that the move is late and short.
	canaryFraction = 0.6
	// thinCanaryFraction ends a canary stage with few answers or missing reports.
	thinCanaryFraction = 0.65
	// minWatchFraction is how long the leader must have seen the canary stage.
	minWatchFraction = 0.15
	// stepFraction is the shortest time of each step of StageShifting.
	stepFraction = 0.04
	// drainFraction is the shortest time of StageDraining before closedStep: a release that
	// fails under the load of all requests is found then.
	drainFraction = 0.08
	// stepWaitFraction is how long a step waits for routers that do not report.
	stepWaitFraction = 0.06
	// silentFraction is until when StageDraining waits for routers that do not report.
	silentFraction = 0.85
)

// minAnswers is the number of the target's answers that end a canary stage on time.
const minAnswers = 20

// shares holds the shares of the steps of StageShifting.
var shares = []float64{0.25, 0.5}

// Inputs holds what the next state of an order depends on.
type Inputs struct {
	State State
	// Duration is Order.Duration. Elapsed is the time since the order, Watched the time for
	// which this router has known that the target receives requests, and InStep the time
	// since it saw the last change of stage or step.
	Duration, Elapsed, Watched, InStep time.Duration
	// Target and Others are the numbers of ready instances of the target and of the other
	// releases.
	Target, Others int
	// InForce says that the target is the only release in force.
	InForce bool
	// Answers is the number of the target's answers known to this router.
	Answers int64
	// FailsOften is Detector.FailsOften.
	FailsOften bool
	Fleet      FleetProgress
}

// FleetProgress counts the routers of the fleet.
type FleetProgress struct {
	// Members is the number of all routers, Gone the number of those whose address refuses
	// connections.
	Members, Gone int
	// Reported is the number of routers that carry out the current stage and step by a
	// recent report. Idle is the number of those with no attempt in progress at a release
	// other than the target.
	Reported, Idle int
	// Stopped is the number of routers that send nothing to the target by a recent report.
	Stopped int
}

// quorum reports whether n routers are at least half of the fleet.
func (f FleetProgress) quorum(n int) bool { return 2*n >= f.Members }

// allReported reports whether no router is missing but those that are gone.
func (f FleetProgress) allReported() bool { return f.Reported+f.Gone >= f.Members }

// after reports whether a fraction of the order's duration has passed.
func (in *Inputs) after(fraction float64) bool {
	return in.Elapsed >= fractionOf(in.Duration, fraction)
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// Next returns the state that follows. A verdict that it returns is only proposed: it is
// in force once it is in the store.
func Next(in Inputs) State {
	s := in.State
	switch {
	case s.Stage.isFinal():
	case s.Stopped && in.stopSpread():
		s.Stage = StageReverted
	case s.Stopped:
	case s.Stage == StageWaiting:
		return in.leaveWaiting()
	case s.Stage == StageCanary && in.canaryEnds():
		s.Stage, s.Step, s.Reason = StageShifting, 0, "the canary is as good as the baseline"
	case s.Stage == StageShifting && in.stepEnds():
		s.Step++
		if s.Step == len(shares) {
			s.Stage, s.Step = StageDraining, 0
		}
	case s.Stage == StageDraining && s.Step < closedStep && in.retriesEnd():
		s.Step = closedStep
	case s.Stage == StageDraining && s.Step == closedStep && in.drained():
		s.Stage, s.Reason = StageComplete, "nothing runs at the baseline"
	}
	return s
}

// closedStep is the step of StageDraining in which nothing new is sent to the baseline.
// Before it, a request that failed at the target is retried there: a release that fails
// under the load of all requests is found in this time.
const closedStep = 1

// retriesEnd reports whether StageDraining goes on to closedStep.
func (in *Inputs) retriesEnd() bool {
	return in.Target > 0 && in.Fleet.quorum(in.Fleet.Reported) && in.InStep >= fractionOf(in.Duration, drainFraction)
}

// stopSpread reports whether the verdict may follow a stop: all routers have stopped or are
// gone, or those that do not report have been waited for.
func (in *Inputs) stopSpread() bool {
	return in.Fleet.Stopped+in.Fleet.Gone >= in.Fleet.Members || in.InStep >= silentAfter
}

// leaveWaiting returns the state after StageWaiting.
func (in *Inputs) leaveWaiting() State {
	s := in.State
	switch {
	case in.Target == 0 && in.after(1):
		s.Stopped, s.Reason = true, "the target has no instances"
	case in.Target == 0:
	case in.InForce || in.Others == 0:
		s.Stage, s.Reason = StageDraining, "the target is the only release"
	default:
		s.Stage, s.Reason = StageCanary, "the target has instances"
	}
	return s
}

// minWatch returns for how long the leader of an order must have seen the canary stage.
func minWatch(duration time.Duration) time.Duration { return fractionOf(duration, minWatchFraction) }

// canaryEnds reports whether the target may get more than the canary share: late, from
// enough answers, and with all routers reporting. If answers or reports are missing, time
// decides, but half of the fleet has to report. A target that fails often gets no more, even
// if its baseline fails as well.
func (in *Inputs) canaryEnds() bool {
	if in.Target == 0 || in.FailsOften || !in.Fleet.quorum(in.Fleet.Reported) || in.Watched < minWatch(in.Duration) {
		return false
	}
	enough := in.Answers >= minAnswers && in.Fleet.allReported()
	return enough && in.after(canaryFraction) || in.after(thinCanaryFraction)
}

// stepEnds reports whether a step of StageShifting may be followed by the next.
func (in *Inputs) stepEnds() bool {
	if in.Target == 0 || in.FailsOften || !in.Fleet.quorum(in.Fleet.Reported) || in.InStep < fractionOf(in.Duration, stepFraction) {
		return false
	}
	return in.Fleet.allReported() || in.InStep >= fractionOf(in.Duration, stepWaitFraction)
}

// drained reports whether the baseline may be stopped: no router that reports has an
// attempt in progress there, and all routers report, are gone, or have been silent until
// late. Fewer than half of the fleet never suffice.
func (in *Inputs) drained() bool {
	f := in.Fleet
	if f.Idle < f.Reported || !f.quorum(f.Idle) || in.Target == 0 {
		return false
	}
	return f.Idle+f.Gone >= f.Members || in.after(silentFraction)
}

// plan returns what a router does in a state. alone says that it cannot reach any other
// router; it then sends nothing to the target after the deadline without a verdict.
func plan(o Order, s State, elapsed time.Duration, alone bool) Plan {
	p := Plan{Order: o.id(), Target: o.Target, Stage: s.Stage, Except: s.Except}
	switch {
	case s.Stage.isFinal():
	case s.Stopped:
		p.Stage = StageReverted
	case s.Stage == StageCanary && alone && elapsed >= o.Duration:
		p.Stage = StageWaiting
	case s.Stage == StageDraining:
		p.RetryAtBaseline = s.Step < closedStep
	case s.Stage == StageShifting:
		p.Share = shares[min(max(s.Step, 0), len(shares)-1)]
	}
	return p
}

// focus returns the number of the target's instances per region that carry a share of the
// requests, so that each carries about what an instance carries after the move.
func focus(share float64, ready, regions int) int {
	return max(1, int(math.Round(share*float64(ready)/float64(max(1, regions)))))
}
