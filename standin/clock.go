// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"sync"
	"time"
)

// Clock is the clock of a machine that a test suspends: its time leaps, while timers and
// the steady clock notice nothing. The zero value works. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	leap time.Duration
}

// Now returns the present time, suspensions included, without a reading of the steady
// clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Round(0).Add(c.leap)
}

// Suspend lets the time leap, as if the machine had been suspended for d.
func (c *Clock) Suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leap += d
}
