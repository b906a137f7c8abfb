// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "testing"

func expectReadiness(t *testing.T, s serving, want readiness) {
	t.Helper()
	if got := s.readiness(); got != want {
		t.Fatalf("%+v: readiness %d, not %d", s, got, want)
	}
}

func expectTurnsAway(t *testing.T, s serving, want bool) {
	t.Helper()
	if got := s.turnsCallersAway(); got != want {
		t.Fatalf("%+v: turns callers away %v, not %v", s, got, want)
	}
}

// TestReadiness checks when a node is ready, and when its answers ask callers to
// connect anew.
func TestReadiness(t *testing.T) {
	cases := []struct {
		name      string
		state     serving
		want      readiness
		turnsAway bool
	}{
		{"with both copies", serving{hasConfig: true, hasInstances: true}, isReady, false},
		{"at the start", serving{}, lacksConfig, false},
		{"without a configuration", serving{hasInstances: true}, lacksConfig, false},
		{"without instances", serving{hasConfig: true}, lacksInstances, false},
		{"with a full link", serving{shedding: true, hasConfig: true, hasInstances: true}, isShedding, true},
		{"at a stop", serving{leaving: true, hasConfig: true, hasInstances: true}, isLeaving, true},
		{"at a stop with a full link", serving{leaving: true, shedding: true}, isLeaving, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			expectReadiness(t, c.state, c.want)
			expectTurnsAway(t, c.state, c.turnsAway)
		})
	}
}
