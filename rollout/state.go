// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// stageNames holds the names of the stages in messages, records and logs.
var stageNames = []string{"waiting", "canary", "shifting", "draining", "complete", "reverted"}

// String returns the name of the stage.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return "unknown"
	}
	return stageNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an unknown
// name.
func (s *Stage) UnmarshalText(text []byte) error {
	index := slices.Index(stageNames, string(text))
	if index < 0 {
		return eris.Errorf("rollout: unknown stage %q", text)
	}
	*s = Stage(index)
	return nil
}

// isFinal reports whether the stage is a verdict.
func (s Stage) isFinal() bool { return s == StageComplete || s == StageReverted }

// phase returns what operators read of the stage, zero before the canary.
func (s Stage) phase() Phase {
	switch s {
	case StageCanary, StageShifting, StageDraining:
		return Serving
	case StageComplete:
		return Complete
	case StageReverted:
		return Reverted
	case StageWaiting:
	}
	return 0
}

// State is the progress of an order, as routers exchange it and as the record in the store
// holds it.
type State struct {
	// Order is Order.Version.
	Order granitehoist.Version `json:"order"`
	Stage Stage                `json:"stage"`
	// Step counts the steps of StageShifting.
	Step int `json:"step,omitempty"`
	// Stopped says that the target gets no more requests, though the verdict may not be in
	// the store yet.
	Stopped bool `json:"stopped,omitempty"`
	// By is the router that decided the stage or the stop, and Reason says why.
	By     granitehoist.Box `json:"by,omitempty"`
	Reason string           `json:"reason,omitempty"`
	// Except holds the targets of earlier orders that were replaced before their verdict.
	Except []granitehoist.Release `json:"except,omitempty"`
	// ElapsedMS is the time for which the sender knows that the order has been in force, in
	// milliseconds. AtMostMS is the longest time for which it may have been, zero if unknown:
	// a router that had lost the store learns of an order late.
	ElapsedMS int64 `json:"elapsed_ms,omitempty"`
	AtMostMS  int64 `json:"at_most_ms,omitempty"`
}

// elapsed returns ElapsedMS as a duration.
func (s State) elapsed() time.Duration { return fromMS(s.ElapsedMS) }

func fromMS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Merge returns the later of two states of the same order: a verdict replaces every other
// state, a stop is kept, otherwise the higher stage and step apply. It returns s if the
// states belong to different orders.
func (s State) Merge(other State) State {
	if s.Order != other.Order {
		return s
	}
	merged := s
	if compareProgress(other, s) > 0 {
		merged = other
	}
	merged.Stopped = s.Stopped || other.Stopped
	merged.ElapsedMS = max(s.ElapsedMS, other.ElapsedMS)
	merged.AtMostMS = minKnown(s.AtMostMS, other.AtMostMS)
	merged.Except = unionReleases(s.Except, other.Except)
	return merged
}

// minKnown returns the smaller of two values, of which zero is unknown.
func minKnown(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// compareProgress orders states of one order by verdict, stop, stage and step.
func compareProgress(a, b State) int {
	return cmp.Or(
		compareBool(a.Stage.isFinal(), b.Stage.isFinal()),
		compareBool(a.Stopped, b.Stopped),
		cmp.Compare(a.Stage, b.Stage),
		cmp.Compare(a.Step, b.Step),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// unionReleases returns the releases of both lists, sorted; nil if there are none.
func unionReleases(a, b []granitehoist.Release) []granitehoist.Release {
	union := slices.Concat(a, b)
	slices.Sort(union)
	return slices.Compact(union)
}
