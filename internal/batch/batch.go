// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package batch lets many callers share one slow operation: what arrives while
// an operation is in progress is done together by the next one.
package batch

import (
	"context"
	"sync"
	"time"
)

// Settings configure a Group.
type Settings[In, Out any] struct {
	// Commit does the operation for all of a batch and returns one result an
	// item, in order. An error is given to every caller of the batch.
	Commit func(ctx context.Context, items []In) ([]Out, error)
	// Most bounds the items of one batch; zero stands for no bound.
	Most int
	// Linger is how long an item waits for others; an item for which Urgent
	// returns true ends the wait. Zero does not wait.
	Linger time.Duration
	Urgent func(item In) bool
}

// Group gathers items into batches. At most one batch is in progress.
type Group[In, Out any] struct {
	settings Settings[In, Out]
	mu       sync.Mutex
	waiting  []*call[In, Out]
	busy     bool
	// hurry ends a wait for others.
	hurry chan struct{}
}

type call[In, Out any] struct {
	item   In
	result Out
	err    error
	done   chan struct{}
}

// New returns a Group. It panics if the settings have no Commit.
func New[In, Out any](s Settings[In, Out]) *Group[In, Out] {
	if s.Commit == nil {
		panic("batch: no commit")
	}
	return &Group[In, Out]{settings: s, hurry: make(chan struct{}, 1)}
}

// Do hands in an item and waits for its result. If ctx ends first the item may
// still be committed.
func (g *Group[In, Out]) Do(ctx context.Context, item In) (Out, error) {
	c := &call[In, Out]{item: item, done: make(chan struct{})}
	g.mu.Lock()
	g.waiting = append(g.waiting, c)
	lead := !g.busy
	g.busy = true
	g.mu.Unlock()
	if g.settings.Urgent != nil && g.settings.Urgent(item) {
		select {
		case g.hurry <- struct{}{}:
		default:
		}
	}
	if lead {
		// The batches outlive the caller that started them.
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

// drain commits what waits until nothing does.
func (g *Group[In, Out]) drain(ctx context.Context) {
	for {
		g.linger()
		calls := g.take()
		if len(calls) == 0 {
			return
		}
		g.commit(ctx, calls)
	}
}

// linger waits for more items, until one is urgent.
func (g *Group[In, Out]) linger() {
	if g.settings.Linger <= 0 {
		return
	}
	timer := time.NewTimer(g.settings.Linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.hurry:
	}
}

func (g *Group[In, Out]) take() []*call[In, Out] {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := g.waiting
	if most := g.settings.Most; most > 0 && len(calls) > most {
		calls = calls[:most]
	}
	g.waiting = g.waiting[len(calls):]
	g.busy = len(calls) > 0
	return calls
}

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

// Waiting returns the number of items that no batch has taken yet.
func (g *Group[In, Out]) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}
