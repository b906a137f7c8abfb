// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package batch lets many callers share one slow operation, for example a write to
// the store: the items that arrive while an operation is in progress are committed
// together by the next one.
//
// The partner router (granitehoist router) runs it, for the reports of budgets and
// the charges of bills. A Group owns the items that wait, under its lock, and one
// goroutine that commits while there are any. It relies on Commit to return: a
// Commit that hangs delays every later item. Begin reading at Group.Do.
package batch

import (
	"context"
	"sync"
	"time"
)

// Settings configure a Group.
type Settings[In, Out any] struct {
	// Commit does the operation for all items of a batch and returns one result
	// for each item, in order; fewer results without an error cause a panic. Every
	// caller of the batch gets its error. Only one Commit runs at a time, and its
	// context does not end with those of the callers.
	Commit func(ctx context.Context, items []In) ([]Out, error)
	// MaxItems bounds the items of one batch; zero stands for no bound.
	MaxItems int
	// Linger is how long an item waits for others; zero does not wait.
	Linger time.Duration
	// Urgent, if set, reports whether an item ends the wait of its batch.
	Urgent func(item In) bool
}

// Group gathers items into batches. At most one batch is in progress. It is safe
// for concurrent use.
type Group[In, Out any] struct {
	settings Settings[In, Out]

	// mu guards waiting and busy.
	mu      sync.Mutex
	waiting []*call[In, Out]
	// busy says that a goroutine runs drain.
	busy bool
	// hurry ends a wait for others. It holds one signal, so an urgent item that
	// arrives between two waits shortens the next one.
	hurry chan struct{}
}

// call is an item with the caller that waits for its result. result and err may be
// read once done is closed.
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

// Do adds an item to the next batch and waits for its result. It returns the error
// of Commit, or that of ctx if it ends first; the item may still be committed then.
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
			// A signal is waiting already; one is enough.
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

// drain commits the waiting items until there are none.
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

// take removes the items of the next batch from those that wait, the oldest first.
// If there are none, the goroutine that called it must end: the next Do starts
// another.
func (g *Group[In, Out]) take() []*call[In, Out] {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := g.waiting
	if most := g.settings.MaxItems; most > 0 && len(calls) > most {
		calls = calls[:most]
	}
	g.waiting = g.waiting[len(calls):]
	g.busy = len(calls) > 0
	return calls
}

// commit does the operation for the items of a batch and hands out the results.
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
