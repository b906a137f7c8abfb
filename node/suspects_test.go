// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"testing"
	"time"
)

// TestShouldAsk checks when a node asks its neighbours what speaks against requests.
func TestShouldAsk(t *testing.T) {
	started := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return started.Add(after) }
	cases := []struct {
		name string
		in   askInputs
		want bool
	}{
		{"at the start", askInputs{now: at(0), asked: at(-askPause), round: at(0)}, true},
		{"at the first start of the fleet there is nothing to learn", askInputs{first: true, now: at(0), asked: at(-askPause), round: at(0)}, false},
		{"soon after it asked", askInputs{now: at(askPause / 2), asked: at(0), round: at(0)}, false},
		{"again, while others may not know of it", askInputs{now: at(askPause), asked: at(0), round: at(0)}, true},
		{"no more once all have read of it", askInputs{now: at(askFor), asked: at(0), round: at(askFor)}, false},
		{"after it stood still", askInputs{now: at(time.Hour), asked: at(0), round: at(time.Hour - stoodStill)}, true},
		{"after it stood still at the first start", askInputs{first: true, now: at(time.Hour), asked: at(0), round: at(time.Hour - stoodStill)}, true},
		{"in a long round of a busy machine", askInputs{now: at(time.Hour), asked: at(0), round: at(time.Hour - stoodStill + 1)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.started = started
			if got := shouldAsk(c.in); got != c.want {
				t.Errorf("%v, not %v", got, c.want)
			}
		})
	}
}
