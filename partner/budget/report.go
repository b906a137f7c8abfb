// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// Times between messages about one account while no request waits for tokens.
const (
	// reportInterval is how long the Keeper goes without word of an account that
	// holds tokens or has changed.
	reportInterval = 10 * time.Second
	// shortfallInterval is how long an account that runs low waits to ask again.
	shortfallInterval = time.Second
)

// Asks returns the message about every account that the Keeper should hear of
// now, and whether requests wait for its answer here or elsewhere. What is
// beyond an account's target is given back by it.
func (p *Purse) Asks(now time.Time) (asks []Ask, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, a := range p.accounts {
		if !p.due(a, now) {
			continue
		}
		surplus := a.hasIdle()
		ask := p.ask(k, a, now)
		asks = append(asks, ask)
		urgent = urgent || surplus || ask.Need > ask.Totals.Granted
	}
	sort.Slice(asks, func(i, j int) bool { return asks[i].Budget < asks[j].Budget })
	return asks, urgent || p.closing
}

// due reports whether the Keeper should hear of an account now.
func (p *Purse) due(a *account, now time.Time) bool {
	silent := now.Sub(a.reportedAt)
	switch {
	case p.closing || len(a.waiters) > 0 || a.hasIdle():
		return true
	case a.hasTarget && a.free() < a.target/2:
		return silent >= shortfallInterval
	}
	return silent >= reportInterval && (a.changed || a.totals.Held() != 0)
}

func (p *Purse) ask(k granitehoist.BudgetID, a *account, now time.Time) Ask {
	a.returnSurplus(p.closing)
	a.reportedAt = now
	granted := a.totals.Granted
	ask := Ask{Budget: k, Totals: a.totals, Rate: a.spending.rate(now), Largest: a.largest, Want: granted, Need: granted, Least: granted}
	if p.closing {
		return ask
	}
	missing := a.waiting() - a.free()
	ask.Need += max(0, missing)
	ask.Least += max(0, a.smallestWaiting()-a.free())
	ask.Want += max(0, missing+max(tokensFor(ask.Rate, p.split(k).Cover), quietRequests*a.largest))
	return ask
}

// Apply takes in the Keeper's replies to asks. A reply that is old or doubled
// changes nothing but the target.
func (p *Purse) Apply(asks []Ask, replies []Reply, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reported := make(map[granitehoist.BudgetID]Totals, len(asks))
	for _, ask := range asks {
		reported[ask.Budget] = ask.Totals
	}
	for _, r := range replies {
		a := p.account(r.Budget)
		if !p.closing {
			a.totals.Granted = max(a.totals.Granted, r.Granted)
		}
		a.target, a.hasTarget = r.Target, true
		a.remaining, a.remainingAt = r.Left, now
		a.lenders = r.Lenders
		a.wake()
		a.refuse()
		before := reported[r.Budget]
		before.Granted = a.totals.Granted
		a.changed = a.totals != before || len(a.waiters) > 0
	}
}
