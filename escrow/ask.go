// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// maxAsked bounds the lenders that are asked for one request: the holder and two that
	// stand in for it.
	maxAsked = 3
	// DefaultHedgeAfter is how long a lender may take before the next one is asked as
	// well: several times a call between two routers of a region with a write of the
	// record, and a third of the time that the most urgent requests of the users' sites
	// wait for tokens.
	DefaultHedgeAfter = 30 * time.Millisecond
	// noLenderPause is the time between two looks for lenders while a router that starts
	// knows of none.
	noLenderPause = 10 * time.Millisecond
)

// ask asks lenders for what a request waits for, one after the other, the next as
// soon as one has answered without helping or is slow. It returns the outcome of
// the wait: at once when none of them could help, at the end of ctx at the latest.
// Calls that are under way then go on, since a loan that arrives late serves the
// next request.
func (s *Syncer) ask(ctx context.Context, w granitehoist.Workspace, c claim, entered *waiter) Outcome {
	select {
	case outcome := <-entered.outcome:
		return outcome
	default:
	}
	lenders := s.lendersToAsk(ctx, w)
	answers := make(chan bool, len(lenders))
	missing := s.settings.Ledger.requestShortage(w, c)
	asked, pending, answered := 0, 0, false
	askNext := func() {
		if asked == len(lenders) {
			return
		}
		lender := lenders[asked]
		asked++
		pending++
		go func() { answers <- s.borrowFrom(context.WithoutCancel(ctx), lender, missing) }()
	}
	askNext()
	hedge := time.NewTicker(s.settings.HedgeAfter)
	defer hedge.Stop()
	for pending > 0 {
		select {
		case outcome := <-entered.outcome:
			return outcome
		case <-ctx.Done():
			return s.settings.Ledger.abandon(w, entered, s.settings.Clock())
		case <-hedge.C:
			askNext()
		case ok := <-answers:
			pending--
			answered = answered || ok
			askNext()
		}
	}
	if !answered && len(lenders) > 0 {
		return s.readRecordFor(ctx, w, entered)
	}
	return s.settings.Ledger.abandon(w, entered, s.settings.Clock())
}

// refill asks the first lender for the next packet of a workspace if it is time to,
// without waiting for the answer. If that fails, the next request asks.
func (s *Syncer) refill(w granitehoist.Workspace) {
	missing, needed := s.settings.Ledger.startRefill(w, s.settings.Clock())
	if !needed {
		return
	}
	go func() {
		defer s.settings.Ledger.endRefill(w)
		if lenders := s.lenders(w); len(lenders) > 0 {
			s.borrowFrom(context.Background(), lenders[0], missing)
		}
	}()
}

// lendersToAsk returns the lenders of a workspace. It waits until there are some, or
// until ctx ends: a router that starts has not read the list of its fleet yet, and
// hundreds that start together must not all go to the record.
func (s *Syncer) lendersToAsk(ctx context.Context, w granitehoist.Workspace) []Lender {
	for {
		lenders := s.lenders(w)
		if len(lenders) > 0 || ctx.Err() != nil {
			return lenders[:min(len(lenders), maxAsked)]
		}
		pause.For(ctx, noLenderPause)
	}
}

// readRecordFor has the record read for a request that no lender answered.
func (s *Syncer) readRecordFor(ctx context.Context, w granitehoist.Workspace, entered *waiter) Outcome {
	s.settings.Ledger.noteForsaken(w)
	s.Kick()
	return s.wait(ctx, w, entered)
}

// requestShortage returns what a request of a router that asks holders asks for.
func (l *Ledger) requestShortage(w granitehoist.Workspace, c claim) shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	need := c.bound
	if len(a.waiters) <= 1 {
		need = max(1, c.bound-max(0, a.owned.free()))
	}
	return shortage{workspace: w, need: need, want: need}
}
