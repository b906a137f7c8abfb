// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package batch combines concurrent calls into batches for a slow operation, for example
// a write to the store: items that arrive while an operation is in progress are
// committed together by the next one.
//
// The partner router (granitehoist router) uses it for budget reports and charges. A
// Group holds the queued items under its lock and runs one goroutine while there are
// any. A Commit that hangs blocks all later items. Begin reading at Group.Do.
package batch

import (
	"context"
	"sync"
	"time"
)

// Settings configure a Group.
type Settings[In, Out any] struct {
	// Commit runs the operation for a batch and returns one result for each item, in
	// order; fewer results without an error cause a panic. Its error is returned to every
	// caller of the batch. Only one Commit runs at a time, and its context is not
	// cancelled with those of the callers.
	Commit func(ctx context.Context, items []In) ([]Out, error)
	// MaxItems limits the items of one batch; zero sets no limit.
	MaxItems int
	// Linger is how long a batch waits for more items; zero does not wait.
	Linger time.Duration
	// Urgent, if set, reports whether an item ends the linger time of its batch.
	Urgent func(item In) bool
}

// Group gathers items into batches. At most one batch is in progress. It is safe
// for concurrent use.
type Group[In, Out any] struct {
	settings Settings[In, Out]

	// mu guards waiting and draining.
	mu      sync.Mutex
	waiting []*call[In, Out]
	// draining is set while a goroutine runs drain.
	draining bool
	// urgent ends the linger time. It buffers one signal, so an urgent item that arrives
	// between two batches shortens the next linger time.
	urgent chan struct{}
}

// call is an item with its result. result and err are valid once done is closed.
type call[In, Out any] struct {
	item   In
	result Out
	err    error
	done   chan struct{}
}

// New returns a Group. It panics if the settings have no Commit.
func New[In, Out any](s Settings[In, Out]) *Group[In, Out] {
	if s.Commit == nil {
		panic("batch: Settings.Commit is nil")
	}
	return &Group[In, Out]{settings: s, urgent: make(chan struct{}, 1)}
}

// Do adds an item to the next batch and waits for its result. It returns the error
// of Commit, or that of ctx if it ends first; the item may still be committed then.
func (g *Group[In, Out]) Do(ctx context.Context, item In) (Out, error) {
	c := &call[In, Out]{item: item, done: make(chan struct{})}
	g.mu.Lock()
	g.waiting = append(g.waiting, c)
	start := !g.draining
	g.draining = true
	g.mu.Unlock()
	if g.settings.Urgent != nil && g.settings.Urgent(item) {
		select {
		case g.urgent <- struct{}{}:
		default:
			// A signal is already pending.
		}
	}
	if start {
		// Batches must not be cancelled with the caller that started the goroutine.
		go g.drain(context.WithoutCancel(ctx))
	}
	select {
	case <-c.done:
		return c.result, c.err
	case <-ctx.Done():
		var none Out
		return none, ctx.Err()
	}
}

// drain commits batches until no item is waiting.
func (g *Group[In, Out]) drain(ctx context.Context) {
	for {
		g.linger()
		calls := g.nextBatch()
		if len(calls) == 0 {
			return
		}
		g.commit(ctx, calls)
	}
}

// linger waits for the linger time or until an urgent item arrives.
func (g *Group[In, Out]) linger() {
	if g.settings.Linger <= 0 {
		return
	}
	timer := time.NewTimer(g.settings.Linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.urgent:
	}
}

// nextBatch removes and returns the oldest waiting items. If there are none, the caller
// must return from drain: the next Do starts a new goroutine.
func (g *Group[In, Out]) nextBatch() []*call[In, Out] {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := g.waiting
	if limit := g.settings.MaxItems; limit > 0 && len(calls) > limit {
		calls = calls[:limit]
	}
	g.waiting = g.waiting[len(calls):]
	g.draining = len(calls) > 0
	return calls
}

// commit runs the operation for a batch and delivers the results.
func (g *Group[In, Out]) commit(ctx context.Context, calls []*call[In, Out]) {
	items := make([]In, len(calls))
	for i, c := range calls {
		items[i] = c.item
	}
	results, err := g.settings.Commit(ctx, items)
	for i, c := range calls {
		c.err = err
		if err == nil {
			c.result = results[i]
		}
		close(c.done)
	}
}

// Waiting returns the number of items that are not yet in a batch.
func (g *Group[In, Out]) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}
