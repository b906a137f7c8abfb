// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import "time"

const (
	// crashedMemory is how long a life that crashed is remembered. Upstreams are replaced
	// under new names within some seconds.
	crashedMemory = 5 * time.Second
	// maxCrashedLives bounds the lives that are remembered: above the upstreams that a
	// router has connections to.
	maxCrashedLives = 4096
	// lossTime is the time in which the crashes of one loss are known to a router, and
	// lossLives how many lives have to crash in it for a loss: all routers send a suspect
	// to the same upstream, so that one suspect crashes one life in that time, or two
	// while routers see different upstreams. The crashes of a loss of power were known
	// within 6 ms, in one process.
	lossTime  = 50 * time.Millisecond
	lossLives = 4
)

// crashedLives holds the lives of upstreams that crashed, under any request. The zero value
// is ready. The lock of its table guards it.
type crashedLives struct {
	lives map[Life]crashedLife
}

// crashedLife is what is known of the crash of one life.
type crashedLife struct {
	// known is when this router first knew of it, seen when it first saw it itself; seen is
	// zero if it only heard of it. A message may tell of old crashes, so that only what
	// was seen tells when it was.
	known, seen time.Time
}

// note records that a life has crashed. seen says that this router saw it.
func (c *crashedLives) note(l Life, seen bool, now time.Time) {
	if c.lives == nil {
		c.lives = map[Life]crashedLife{}
	}
	life, known := c.lives[l]
	switch {
	case !known && len(c.lives) >= maxCrashedLives:
		return
	case !known:
		life.known = now
	}
	if seen && life.seen.IsZero() {
		life.seen = now
	}
	c.lives[l] = life
}

// inLoss reports whether so many lives have crashed just now that something else than a
// suspect request is the cause.
func (c *crashedLives) inLoss(now time.Time) bool {
	lives := 0
	for _, life := range c.lives {
		if !life.seen.IsZero() && now.Sub(life.seen) <= lossTime {
			lives++
		}
	}
	return lives >= lossLives
}

// before reports whether a life was known to have crashed before a time.
func (c *crashedLives) before(l Life, t time.Time) bool {
	life, known := c.lives[l]
	return known && life.known.Before(t)
}

// sweep forgets the lives that crashed crashedMemory ago.
func (c *crashedLives) sweep(now time.Time) {
	for l, life := range c.lives {
		if now.Sub(life.known) > crashedMemory {
			delete(c.lives, l)
		}
	}
}
