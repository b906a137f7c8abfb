// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"testing"
	"time"
)

// newInputs returns inputs of a fleet of six that all report, in a stage after a time of an
// order of 10 s. Enough answers are known, and nothing runs at the baseline.
func newInputs(stage Stage, elapsed time.Duration) Inputs {
	step := 0
	if stage == StageDraining {
		step = closedStep
	}
	return Inputs{
		State: State{Order: 1, Stage: stage, Step: step}, Duration: 10 * time.Second,
		Elapsed: elapsed, Watched: elapsed, InStep: elapsed,
		Target: 4, Others: 4, Answers: 100,
		Fleet: FleetProgress{Members: 6, Reported: 6, Idle: 6, Stopped: 6},
	}
}

// TestNext guards against a step that is made too early, never, or without the reports that
// it needs.
func TestNext(t *testing.T) {
	const early, due, late, over = time.Second, 6100 * time.Millisecond, 8600 * time.Millisecond, 11 * time.Second
	for _, c := range []struct {
		name    string
		stage   Stage
		elapsed time.Duration
		change  func(*Inputs)
		want    Stage
	}{
		{"no target yet", StageWaiting, early, func(in *Inputs) { in.Target = 0 }, StageWaiting},
		{"target appears", StageWaiting, early, nil, StageCanary},
		{"target appears late", StageWaiting, over, nil, StageCanary},
		{"target never appears", StageWaiting, over, func(in *Inputs) { in.Target, in.State.Stopped = 0, true }, StageReverted},
		{"target is the only release that is ready", StageWaiting, early, func(in *Inputs) { in.Others = 0 }, StageDraining},
		{"target is in force", StageWaiting, early, func(in *Inputs) { in.InForce = true }, StageDraining},
		{"canary begins", StageCanary, early, nil, StageCanary},
		{"canary ends", StageCanary, due, nil, StageShifting},
		{"canary with few answers", StageCanary, due, func(in *Inputs) { in.Answers = 3 }, StageCanary},
		{"canary with few answers, late", StageCanary, late, func(in *Inputs) { in.Answers = 3 }, StageShifting},
		{"canary with a report missing", StageCanary, due, func(in *Inputs) { in.Fleet.Reported = 5 }, StageCanary},
		{"canary with a report missing, late", StageCanary, late, func(in *Inputs) { in.Fleet.Reported = 5 }, StageShifting},
		{"canary that fails often, though the baseline does too, late", StageCanary, late, func(in *Inputs) { in.FailsOften = true }, StageCanary},
		{"step that fails often, though the baseline does too", StageShifting, late, func(in *Inputs) { in.State.Step, in.FailsOften = 1, true }, StageShifting},
		{"canary after a restart", StageCanary, late, func(in *Inputs) { in.Watched = time.Second }, StageCanary},
		{"canary without half of the fleet", StageCanary, late, func(in *Inputs) { in.Fleet.Reported = 2 }, StageCanary},
		{"canary without instances", StageCanary, late, func(in *Inputs) { in.Target = 0 }, StageCanary},
		{"canary found bad", StageCanary, early, func(in *Inputs) { in.State.Stopped = true }, StageReverted},
		{"canary found bad, a router sends on", StageCanary, early, func(in *Inputs) { in.State.Stopped, in.Fleet.Stopped = true, 5 }, StageCanary},
		{"canary found bad, a router is gone", StageCanary, early, func(in *Inputs) { in.State.Stopped, in.Fleet.Stopped, in.Fleet.Gone = true, 5, 1 }, StageReverted},
		{"canary found bad, a router is silent", StageCanary, 2 * early, func(in *Inputs) { in.State.Stopped, in.Fleet.Stopped = true, 5 }, StageReverted},
		{"step begins", StageShifting, due, func(in *Inputs) { in.InStep = 0 }, StageShifting},
		{"last step ends", StageShifting, due, func(in *Inputs) { in.State.Step = 1 }, StageDraining},
		{"step waits for a report", StageShifting, due, func(in *Inputs) { in.Fleet.Reported, in.InStep = 5, 600*time.Millisecond }, StageShifting},
		{"step waits no longer", StageShifting, due, func(in *Inputs) { in.State.Step, in.Fleet.Reported = 1, 5 }, StageDraining},
		{"bad while shifting", StageShifting, due, func(in *Inputs) { in.State.Stopped = true }, StageReverted},
		{"drained", StageDraining, due, nil, StageComplete},
		{"draining begins", StageDraining, due, func(in *Inputs) { in.State.Step, in.InStep = 0, 0 }, StageDraining},
		{"retries may run at the baseline", StageDraining, due, func(in *Inputs) { in.State.Step = 0 }, StageDraining},
		{"a stream runs", StageDraining, over, func(in *Inputs) { in.Fleet.Idle = 5 }, StageDraining},
		{"a router is gone", StageDraining, due, func(in *Inputs) { in.Fleet = FleetProgress{Members: 6, Gone: 1, Reported: 5, Idle: 5} }, StageComplete},
		{"a router is silent", StageDraining, due, func(in *Inputs) { in.Fleet = FleetProgress{Members: 6, Reported: 5, Idle: 5} }, StageDraining},
		{"a router is silent, late", StageDraining, late, func(in *Inputs) { in.Fleet = FleetProgress{Members: 6, Reported: 5, Idle: 5} }, StageComplete},
		{"half of the fleet is gone", StageDraining, due, func(in *Inputs) { in.Fleet = FleetProgress{Members: 6, Gone: 3, Reported: 3, Idle: 3} }, StageComplete},
		{"more than half is silent", StageDraining, over, func(in *Inputs) { in.Fleet = FleetProgress{Members: 6, Gone: 4, Reported: 2, Idle: 2} }, StageDraining},
		{"bad while draining", StageDraining, due, func(in *Inputs) { in.State.Stopped = true }, StageReverted},
		{"complete", StageComplete, over, func(in *Inputs) { in.State.Stopped = true }, StageComplete},
		{"reverted", StageReverted, due, nil, StageReverted},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := newInputs(c.stage, c.elapsed)
			if c.change != nil {
				c.change(&in)
			}
			if got := Next(in).Stage; got != c.want {
				t.Errorf("%v", got)
			}
		})
	}
	t.Run("retries at the baseline end after some time", func(t *testing.T) {
		in := newInputs(StageDraining, 9*time.Second)
		in.State.Step = 0
		if got := Next(in); got.Step != closedStep {
			t.Errorf("%+v", got)
		}
		in.InStep = fractionOf(in.Duration, drainFraction) - 1
		if got := Next(in); got.Step != 0 {
			t.Errorf("%+v", got)
		}
	})
	t.Run("a target that never appears is stopped", func(t *testing.T) {
		in := newInputs(StageWaiting, over)
		in.Target = 0
		if got := Next(in); !got.Stopped {
			t.Errorf("%+v", got)
		}
	})
	t.Run("a step follows the one before", func(t *testing.T) {
		got := Next(newInputs(StageShifting, due))
		if got.Stage != StageShifting || got.Step != 1 {
			t.Errorf("%+v", got)
		}
	})
}

// TestPlan guards against requests to a target that was stopped, and against a router that
// is cut off and sends to the target after the deadline.
func TestPlan(t *testing.T) {
	o := Order{Service: "s", Target: "v2", Duration: 10 * time.Second, Version: 1}
	for _, c := range []struct {
		name    string
		state   State
		elapsed time.Duration
		alone   bool
		want    Stage
		share   float64
	}{
		{"canary", State{Stage: StageCanary}, time.Second, true, StageCanary, 0},
		{"canary alone after the deadline", State{Stage: StageCanary}, 11 * time.Second, true, StageWaiting, 0},
		{"canary after the deadline", State{Stage: StageCanary}, 11 * time.Second, false, StageCanary, 0},
		{"second step", State{Stage: StageShifting, Step: 1}, time.Second, false, StageShifting, 0.5},
		{"step of another version", State{Stage: StageShifting, Step: 9}, time.Second, false, StageShifting, 0.5},
		{"stopped", State{Stage: StageDraining, Stopped: true}, time.Second, false, StageReverted, 0},
		{"complete after a stop", State{Stage: StageComplete, Stopped: true}, time.Second, false, StageComplete, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := plan(o, c.state, c.elapsed, c.alone)
			if got.Stage != c.want || got.Share != c.share || got.Target != "v2" {
				t.Errorf("%+v", got)
			}
		})
	}
}
