// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boottime

import (
	"context"
	"sync"
	"time"
)

// Deadlines cancels contexts whose deadline has passed on a clock that counts suspensions
// of the machine. The contexts' own timers fire late by the length of a suspension, so
// CancelExpired cancels the contexts that are due. The zero value is ready to use. It is
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

// WithTimeout returns a context that ends at now plus timeout, or earlier with its
// parent. The returned function must be called once the context is no longer needed.
func (d *Deadlines) WithTimeout(parent context.Context, timeout time.Duration, now time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	p := &pending{deadline: now.Add(timeout), cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = map[*pending]struct{}{}
	}
	d.pending[p] = struct{}{}
	return ctx, func() { d.release(p) }
}

// release cancels a context and removes it from pending.
func (d *Deadlines) release(p *pending) {
	p.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, p)
}

// CancelAll cancels all contexts.
func (d *Deadlines) CancelAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p := range d.pending {
		p.cancel()
	}
}

// CancelExpired cancels the contexts whose deadline is not after now.
func (d *Deadlines) CancelExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p := range d.pending {
		if !now.Before(p.deadline) {
			p.cancel()
		}
	}
}
