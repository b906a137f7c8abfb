// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"testing"
	"time"
)

// testGrace is the grace period of the tested stops.
const testGrace = 8 * time.Second

var stopStart = time.Unix(1000, 0)

func expectPhase(t *testing.T, after time.Duration, active int, want stopPhase) {
	t.Helper()
	plan := newStopPlan(stopStart, testGrace)
	if got := plan.phase(stopStart.Add(after), active); got != want {
		t.Fatalf("%v after the order with %d active: phase %d, not %d", after, active, got, want)
	}
}

func expectReturnTime(t *testing.T, after, want time.Duration) {
	t.Helper()
	plan := newStopPlan(stopStart, testGrace)
	if got := plan.returnTime(stopStart.Add(after)); got != want {
		t.Fatalf("%v after the order: %v for the return, not %v", after, got, want)
	}
}

// TestStopPlan guards against requests cut off early, new ones that are accepted too late, and a
// return of tokens that the platform would kill.
func TestStopPlan(t *testing.T) {
	phases := []struct {
		name   string
		after  time.Duration
		active int
		want   stopPhase
	}{
		{"at the order", 0, 0, phaseServe},
		{"idle before the end of phaseServe", 2559 * time.Millisecond, 0, phaseServe},
		{"idle after phaseServe", 2560 * time.Millisecond, 0, phaseReturn},
		{"busy after phaseServe", 2560 * time.Millisecond, 1, phaseFinish},
		{"busy before the end of phaseFinish", 7599 * time.Millisecond, 3, phaseFinish},
		{"busy after phaseFinish", 7600 * time.Millisecond, 3, phaseReturn},
		{"after the grace", 9 * time.Second, 1, phaseReturn},
	}
	for _, c := range phases {
		t.Run(c.name, func(t *testing.T) { expectPhase(t, c.after, c.active, c.want) })
	}
	t.Run("the latest end of phaseServe", func(t *testing.T) {
		plan := newStopPlan(stopStart, 30*time.Second)
		if served := plan.serveUntil.Sub(stopStart); served > 3*time.Second {
			t.Fatalf("new requests are served for %v", served)
		}
	})
	returns := []struct {
		name        string
		after, want time.Duration
	}{
		{"early: the maximum time", 3 * time.Second, maxReturnTime},
		{"late: the time left", 7 * time.Second, 760 * time.Millisecond},
		{"at the end: the minimum time", 7600 * time.Millisecond, minReturnTime},
		{"after the grace", 9 * time.Second, minReturnTime},
	}
	for _, c := range returns {
		t.Run(c.name, func(t *testing.T) { expectReturnTime(t, c.after, c.want) })
	}
}
