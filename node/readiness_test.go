// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "testing"

func expectReadiness(t *testing.T, s readinessInputs, want readiness) {
	t.Helper()
	if got := s.readiness(); got != want {
		t.Fatalf("%+v: readiness %d, not %d", s, got, want)
	}
}

func expectAsksToReconnect(t *testing.T, s readinessInputs, want bool) {
	t.Helper()
	if got := s.asksCallersToReconnect(); got != want {
		t.Fatalf("%+v: asks to reconnect %v, not %v", s, got, want)
	}
}

// TestReadiness guards against a node that gets callers before it can serve them, or
// keeps them while it stops or sheds.
func TestReadiness(t *testing.T) {
	cases := []struct {
		name            string
		state           readinessInputs
		want            readiness
		asksToReconnect bool
	}{
		{"with all data", readinessInputs{hasConfig: true, hasInstances: true, hasEvidence: true}, readyForCallers, false},
		{"without evidence", readinessInputs{hasConfig: true, hasInstances: true}, notReadyNoEvidence, false},
		{"at start", readinessInputs{}, notReadyNoConfig, false},
		{"without a configuration", readinessInputs{hasInstances: true}, notReadyNoConfig, false},
		{"without instances", readinessInputs{hasConfig: true}, notReadyNoInstances, false},
		{"with a full link", readinessInputs{shedding: true, hasConfig: true, hasInstances: true}, notReadyShedding, true},
		{"at a stop", readinessInputs{stopping: true, hasConfig: true, hasInstances: true}, notReadyStopping, true},
		{"isolated from the upstreams", readinessInputs{isolated: true, hasConfig: true, hasInstances: true, hasEvidence: true}, notReadyIsolated, true},
		{"at a stop with a full link", readinessInputs{stopping: true, shedding: true}, notReadyStopping, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			expectReadiness(t, c.state, c.want)
			expectAsksToReconnect(t, c.state, c.asksToReconnect)
		})
	}
}
