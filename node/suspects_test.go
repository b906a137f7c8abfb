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
		{"at the start", pullInputs{now: at(0), pulled: at(-pullInterval), round: at(0)}, true},
		{"at the first start of the fleet there is nothing to learn", pullInputs{first: true, now: at(0), pulled: at(-pullInterval), round: at(0)}, false},
		{"soon after it pulled", pullInputs{now: at(pullInterval / 2), pulled: at(0), round: at(0)}, false},
		{"again, while others may not have it in their list", pullInputs{now: at(pullInterval), pulled: at(0), round: at(0)}, true},
		{"no more once all have it in their list", pullInputs{now: at(pullFor), pulled: at(0), round: at(pullFor)}, false},
		{"after it was stalled", pullInputs{now: at(time.Hour), pulled: at(0), round: at(time.Hour - stallTime)}, true},
		{"after it was stalled at the first start", pullInputs{first: true, now: at(time.Hour), pulled: at(0), round: at(time.Hour - stallTime)}, true},
		{"in a long round of a busy machine", pullInputs{now: at(time.Hour), pulled: at(0), round: at(time.Hour - stallTime + 1)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.started = started
			if got := shouldPull(c.in); got != c.want {
				t.Errorf("%v, not %v", got, c.want)
			}
		})
	}
}
