// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
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

// lows returns the workspaces whose holding is low or for which requests wait.
func (l *Ledger) lows(routers int, now time.Time) []shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.outlook(routers, now)
	// Relays hold the tokens of requests that have not come yet.
	o.start = 0
	var low []shortage
	for w, a := range l.accounts {
		if missing := a.low(o); missing.want > 0 {
			missing.workspace = w
			low = append(low, missing)
		}
	}
	return low
}

// low returns what an account lacks of its target. Before a relay has told what
// is left, the whole budget is taken to be.
func (a *account) low(o outlook) shortage {
	target := a.target(a.believedRest(), o)
	free := max(0, a.owned())
	var waiting granitehoist.Tokens
	for _, each := range a.waiters {
		waiting += each.bound
	}
	if a.frozen || (waiting == 0 && float64(free) >= refillBelow*float64(target)) {
		return shortage{}
	}
	want := max(1, target+waiting-free)
	return shortage{need: min(want, max(1, waiting)), want: want, waiting: waiting > 0}
}

// believedRest returns what is left in the store as far as is known.
func (a *account) believedRest() granitehoist.Tokens {
	switch {
	case a.told && a.toldAt.After(a.restAt):
		return a.toldRest
	case a.known:
		return a.rest
	}
	return a.limit
}

// replenish fills the holdings from relays, and reports whether they have done
// what can be done: the record can't help either where a relay that knows it
// does not.
func (s *Syncer) replenish(ctx context.Context) bool {
	lenders := s.settings.Lenders()
	inTouch := false
	for _, lender := range lenders[:min(len(lenders), relaysAsked)] {
		low := s.settings.Ledger.lows(s.settings.Routers(), s.settings.Clock())
		for _, missing := range low {
			inTouch = s.borrowFrom(ctx, lender, missing) || inTouch
		}
		if len(low) == 0 {
			inTouch = true
			break
		}
	}
	if !inTouch {
		s.settings.Ledger.silent(s.settings.Clock())
	}
	return s.settings.Ledger.replenished(inTouch)
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
		settled = settled && !a.frozen && (inTouch || len(a.waiters) == 0)
	}
	return settled
}
