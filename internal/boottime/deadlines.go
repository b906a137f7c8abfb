// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boottime

import (
	"context"
	"sync"
	"time"
)

// Deadlines cancels contexts whose deadline has passed by a clock that counts suspensions.
// After a suspension the contexts' own timers fire late by its length; Check cancels what is
// due by then. The zero value works. It is
// safe for concurrent use.
type Deadlines struct {
	// mu guards pending.
	mu      sync.Mutex
	pending map[*pending]struct{}
}

// pending is a context that has not ended.
type pending struct {
	deadline time.Time
	cancel   context.CancelFunc
}

// With returns a context that ends left after now, or earlier with its parent. The
// returned function has to be called once the context is no longer needed.
func (d *Deadlines) With(parent context.Context, left time.Duration, now time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, left)
	p := &pending{deadline: now.Add(left), cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = map[*pending]struct{}{}
	}
	d.pending[p] = struct{}{}
	return ctx, func() { d.end(p) }
}

// end ends a context that is no longer needed.
func (d *Deadlines) end(p *pending) {
	p.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, p)
}

// Check ends the contexts whose deadlines have passed now.
func (d *Deadlines) Check(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p := range d.pending {
		if !now.Before(p.deadline) {
			p.cancel()
		}
	}
}
