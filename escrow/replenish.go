// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist"
)

// A router that does not speak with the store fills its holdings by loans from
// relays, which do.

// Bounds of asking relays.
const (
	relaysAsked = 3
	// relayWait is how long a relay waits for the store on behalf of a
	// neighbour.
	relayWait = 45 * time.Millisecond
	// replenishTimeout bounds a call for which no request waits.
	replenishTimeout = 400 * time.Millisecond
)

// lacks returns the workspaces whose holding is low or for which requests wait.
func (l *Ledger) lacks(routers int, now time.Time) []shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.conditions(routers, now)
	// Relays hold the tokens of requests that have not come yet.
	o.start = 0
	var low []shortage
	for w, a := range l.accounts {
		a.routers = routers
		if missing := a.lack(o); missing.want > 0 {
			missing.workspace = w
			low = append(low, missing)
		}
	}
	return low
}

// lack returns what an account lacks of its target. Before a relay has told what
// is left, the whole budget is taken to be.
func (a *account) lack(o conditions) shortage {
	target := a.target(a.fleet.remainingInStore(a.owned.limit), o)
	free := max(0, a.owned.unreserved())
	var waiting granitehoist.Tokens
	for _, each := range a.waiters {
		waiting += each.bound
	}
	if a.owned.frozen || (waiting == 0 && float64(free) >= refillBelow*float64(target)) {
		return shortage{}
	}
	want := max(1, target+waiting-free)
	return shortage{need: min(want, max(1, waiting)), want: want, rate: granitehoist.Tokens(a.demand.rate.value(o.now)), idle: free, waiting: waiting > 0}
}

// replenish fills the holdings from relays, and reports whether they have done
// what can be done: the record can't help either where a relay that knows it
// does not.
func (s *Syncer) replenish(ctx context.Context) bool {
	low := s.settings.Ledger.lacks(s.settings.Routers(), s.settings.Clock())
	lenders := s.lenders()
	lenders = lenders[:min(len(lenders), relaysAsked)]
	var unhelped atomic.Int32
	var asking sync.WaitGroup
	for _, missing := range low {
		asking.Go(func() {
			if !s.borrowFromAny(ctx, lenders, missing) {
				unhelped.Add(1)
			}
		})
	}
	asking.Wait()
	inTouch := unhelped.Load() == 0
	if !inTouch {
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	return s.settings.Ledger.replenished(inTouch)
}

// borrowFromAny asks one lender after the other until nothing is missing or one
// is in touch with the store: then the others can't do more. It reports whether
// one of the two came about.
func (s *Syncer) borrowFromAny(ctx context.Context, lenders []granitehoist.Peer, missing shortage) bool {
	for _, lender := range lenders {
		if s.borrowFrom(ctx, lender, missing) {
			return true
		}
		if missing = s.settings.Ledger.lackOf(missing.workspace, s.settings.Routers(), s.settings.Clock()); missing.want == 0 {
			return true
		}
	}
	return false
}

// lackOf returns what one workspace lacks.
func (l *Ledger) lackOf(w granitehoist.Workspace, routers int, now time.Time) shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.conditions(routers, now)
	o.start = 0
	missing := l.account(w).lack(o)
	missing.workspace = w
	return missing
}

// replenished notes that relays were asked, and reports whether the record can
// do no more: it alone settles a reduced budget, and helps requests that wait
// while no relay is in touch with it.
func (l *Ledger) replenished(inTouch bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	settled := true
	for _, a := range l.accounts {
		a.changed = false
		settled = settled && !a.owned.frozen && (inTouch || len(a.waiters) == 0)
	}
	return settled
}
