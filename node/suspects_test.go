// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"testing"
	"time"
)

// TestShouldPull checks when a node pulls evidence from its neighbours.
func TestShouldPull(t *testing.T) {
	started := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return started.Add(after) }
	cases := []struct {
		name string
		in   pullInputs
		want bool
	}{
		{"at the start", pullInputs{now: at(0), pulledAt: at(-pullInterval), roundAt: at(0)}, true},
		{"at the first start of the fleet there is nothing to learn", pullInputs{bootstrap: true, now: at(0), pulledAt: at(-pullInterval), roundAt: at(0)}, false},
		{"soon after it pulled", pullInputs{now: at(pullInterval / 2), pulledAt: at(0), roundAt: at(0)}, false},
		{"again, while others may not have it in their list", pullInputs{now: at(pullInterval), pulledAt: at(0), roundAt: at(0)}, true},
		{"no more once all have it in their list", pullInputs{now: at(pullPeriod), pulledAt: at(0), roundAt: at(pullPeriod)}, false},
		{"after it was stalled", pullInputs{now: at(time.Hour), pulledAt: at(0), roundAt: at(time.Hour - stallThreshold)}, true},
		{"after it was stalled at the first start", pullInputs{bootstrap: true, now: at(time.Hour), pulledAt: at(0), roundAt: at(time.Hour - stallThreshold)}, true},
		{"in a long round of a busy machine", pullInputs{now: at(time.Hour), pulledAt: at(0), roundAt: at(time.Hour - stallThreshold + 1)}, false},
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
