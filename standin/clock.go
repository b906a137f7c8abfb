// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"sync"
	"time"
)

// Clock simulates the wall clock of a machine that is suspended: wall time jumps ahead,
// while timers and the monotonic clock don't. The zero value is ready to use. It is safe
// for concurrent use.
type Clock struct {
	mu     sync.Mutex
	offset time.Duration
}

// Now returns the current time including suspensions, without a monotonic clock reading.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Round(0).Add(c.offset)
}

// Suspend moves the clock forward as if the machine had been suspended for d.
func (c *Clock) Suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}
