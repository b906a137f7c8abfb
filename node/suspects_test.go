// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"testing"
	"time"
)

// TestShouldPull guards against missing evidence after a start or a stall, and against
// endless pulls.
func TestShouldPull(t *testing.T) {
	started := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return started.Add(after) }
	cases := []struct {
		name string
		in   pullInputs
		want bool
	}{
		{"at start", pullInputs{now: at(0), pulledAt: at(-pullInterval), roundAt: at(0)}, true},
		{"at the first start of the fleet", pullInputs{bootstrap: true, now: at(0), pulledAt: at(-pullInterval), roundAt: at(0)}, false},
		{"shortly after a pull", pullInputs{now: at(pullInterval / 2), pulledAt: at(0), roundAt: at(0)}, false},
		{"again while other nodes may not list it yet", pullInputs{now: at(pullInterval), pulledAt: at(0), roundAt: at(0)}, true},
		{"not once all nodes list it", pullInputs{now: at(pullPeriod), pulledAt: at(0), roundAt: at(pullPeriod)}, false},
		{"after a stall", pullInputs{now: at(time.Hour), pulledAt: at(0), roundAt: at(time.Hour - stallThreshold)}, true},
		{"after a stall at the first start", pullInputs{bootstrap: true, now: at(time.Hour), pulledAt: at(0), roundAt: at(time.Hour - stallThreshold)}, true},
		{"after a round just below the stall threshold", pullInputs{now: at(time.Hour), pulledAt: at(0), roundAt: at(time.Hour - stallThreshold + 1)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.startedAt = started
			if got := shouldPull(c.in); got != c.want {
				t.Errorf("%v, not %v", got, c.want)
			}
		})
	}
}

// TestHasEvidence guards against a starting node that takes the empty evidence of nodes that
// start too for all there is, and against one that waits for others after a restart of all.
func TestHasEvidence(t *testing.T) {
	cases := []struct {
		name                string
		responded, starting int
		age                 time.Duration
		want                bool
	}{
		{"without a response", 0, 0, time.Hour, false},
		{"by a node that knows", 1, 0, 0, true},
		{"by a node that knows beside others that start", 3, 2, 0, true},
		{"not by nodes that start", 3, 3, startingWait - 1, false},
		{"by nodes that start, after the wait", 1, 1, startingWait, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := hasEvidence(c.responded, c.starting, c.age); got != c.want {
				t.Errorf("%v, not %v", got, c.want)
			}
		})
	}
}
