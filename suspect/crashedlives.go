// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import "time"

const (
	// crashedMemory is how long a life that crashed is remembered. Upstreams are replaced
	// under new names within some seconds. Chosen, not measured.
	crashedMemory = 5 * time.Second
	// maxCrashedLives bounds the lives that are remembered. Chosen, not measured: above
	// the upstreams that a router has connections to.
	maxCrashedLives = 4096
	// lossTime is the time in which the crashes of one loss are known to a router, and
	// lossLives how many lives have to crash in it for a loss: all routers send a suspect
	// to the same upstream, so that one suspect crashes one life in that time, or two while
	// routers see different upstreams. Chosen, not measured: the crashes of a loss of
	// power were known within 6 ms, in one process.
	lossTime  = 50 * time.Millisecond
	lossLives = 4
)

// crashedLives holds when lives of upstreams were first known to have crashed, under any
// request. The zero value is ready. The lock of its table guards it.
type crashedLives struct {
	at map[Life]time.Time
}

// note records that a life has crashed.
func (c *crashedLives) note(l Life, now time.Time) {
	if c.at == nil {
		c.at = map[Life]time.Time{}
	}
	if _, known := c.at[l]; !known && len(c.at) < maxCrashedLives {
		c.at[l] = now
	}
}

// inLoss reports whether so many lives have crashed just now that something else than a
// suspect request is the cause.
func (c *crashedLives) inLoss(now time.Time) bool {
	lives := 0
	for _, at := range c.at {
		if now.Sub(at) <= lossTime {
			lives++
		}
	}
	return lives >= lossLives
}

// before reports whether a life was known to have crashed before a time.
func (c *crashedLives) before(l Life, t time.Time) bool {
	at, known := c.at[l]
	return known && at.Before(t)
}

// sweep forgets the lives that crashed crashedMemory ago.
func (c *crashedLives) sweep(now time.Time) {
	for l, at := range c.at {
		if now.Sub(at) > crashedMemory {
			delete(c.at, l)
		}
	}
}
