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
	// reportInterval is the longest time between two reports of an account that
	// holds tokens or has changed. With it, rootInterval and gathered messages
	// the store calls fell from 88 to 9.75 a second (commit 82e9a37).
	reportInterval = 10 * time.Second
	// shortfallInterval is how long an account that holds less than half of its target, or
	// of its limit, waits before it asks again.
	shortfallInterval = time.Second
)

// Asks returns the reports of every account that is due, and whether requests wait
// for the answer, here or elsewhere. It counts the surplus of each account as
// returned; if a report is lost, the totals of the next one return it too.
func (p *Purse) Asks(now time.Time) (asks []Ask, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, a := range p.accounts {
		if !a.isDue(p.closing, now) {
			continue
		}
		idle := a.hasIdle()
		ask := p.ask(k, a, now)
		asks = append(asks, ask)
		urgent = urgent || idle || ask.Need > ask.Totals.Granted
	}
	sort.Slice(asks, func(i, j int) bool { return asks[i].Budget < asks[j].Budget })
	return asks, urgent || p.closing
}

// isDue decides whether an account is reported to the Keeper now: at once if
// requests wait, here or elsewhere, or if the box stops; soon if the account has
// fallen below half of its target; and otherwise each reportInterval, if there
// is something to report.
func (a *account) isDue(closing bool, now time.Time) bool {
	silent := now.Sub(a.reportedAt)
	switch {
	case closing || len(a.demand.waiters) > 0 || a.hasIdle():
		return true
	case a.reply.received && a.free() < a.reply.target/2:
		return silent >= shortfallInterval
	}
	return silent >= reportInterval && (a.changed || a.totals.Held() != 0)
}

// ask returns the message about an account, which gives its surplus back.
func (p *Purse) ask(k granitehoist.BudgetID, a *account, now time.Time) Ask {
	a.returnSurplus(p.closing)
	a.reportedAt = now
	granted := a.totals.Granted
	ask := Ask{
		Budget:  k,
		Totals:  a.totals,
		Rate:    a.demand.spending.rate(now),
		Largest: a.demand.largest,
		Want:    granted,
		Need:    granted,
		Least:   granted,
	}
	if p.closing {
		return ask
	}
	missing := a.demand.waiting() - a.free()
	ahead := max(tokensFor(ask.Rate, p.split(k).Cover), quietRequests*a.demand.largest)
	ask.Need += max(0, missing)
	ask.Least += max(0, a.demand.smallestWaiting()-a.free())
	ask.Want += max(0, missing+ahead)
	return ask
}

// Apply processes the Keeper's replies to asks. A reply that is old or doubled
// changes nothing but the target, what remains and the lenders.
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
		a.reply = lastReply{received: true, at: now, target: r.Target, remaining: r.Left, lenders: r.Lenders}
		a.wake()
		a.refuse()
		before := reported[r.Budget]
		before.Granted = a.totals.Granted
		a.changed = a.totals != before || len(a.demand.waiters) > 0
	}
}
