// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// plan is what one sync is about to change.
type plan struct {
	// changed says that the record has to be written.
	changed bool
	// rows holds the rows as they are to be written.
	rows map[granitehoist.Workspace]Row
	// rests holds what the store has left after the write, and limits the prepaid
	// totals that this was worked out with.
	rests  map[granitehoist.Workspace]granitehoist.Tokens
	limits map[granitehoist.Workspace]granitehoist.Tokens
}

// prepare enters the ledger's wishes into a record that was just read. routers
// is the number of routers that share the budgets.
func (l *Ledger) prepare(r *Record, routers int, now time.Time) plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := plan{
		rows:   map[granitehoist.Workspace]Row{},
		rests:  map[granitehoist.Workspace]granitehoist.Tokens{},
		limits: map[granitehoist.Workspace]granitehoist.Tokens{},
	}
	o := l.outlook(routers, now)
	below := refillBelow
	if l.low(o) {
		below = joinBelow
	}
	for w, a := range l.accounts {
		stored := r.account(w)
		row := stored.Rows[l.settings.Incarnation]
		a.adopt(row)
		rest := a.limit - stored.Taken()
		next := row
		next.Spent = a.spent
		next.Rate = granitehoist.Tokens(a.rate.value(now) + a.borrowersDemand(now))
		a.rateElsewhere = float64(stored.rateElsewhere(l.settings.Incarnation))
		give := a.giveBack(rest, o, l.closing)
		a.returned += give
		next.Returned = a.returned
		if !l.closing {
			next.Granted += a.wish(rest+next.Returned-row.Returned, o, below)
		}
		next.Idle = max(0, a.owned()+next.Granted-row.Granted)
		if next.Granted != row.Granted || next.Returned != row.Returned || a.misleads(row, next, rest) {
			stored.Rows[l.settings.Incarnation] = next
			p.rows[w] = next
			p.changed = true
		}
		a.known = true
		a.holding = a.target(rest, o)
		a.routers = routers
		a.rest = rest - (next.Granted - row.Granted) + (next.Returned - row.Returned)
		p.rests[w] = a.rest
		p.limits[w] = a.limit
		a.idle = stored.IdleElsewhere(l.settings.Incarnation)
		a.lentIdle = a.borrowersIdle("", now)
		a.restAt = now
	}
	return p
}

// Near the end of a budget others take what a row tells to be idle for what they
// may still get by a loan.
const (
	misleadBelow = 0.1
	misleadLeast = 0.001
)

// misleads reports whether a row tells much more idle tokens than there are
// while little is left.
func (a *account) misleads(told, is Row, rest granitehoist.Tokens) bool {
	limit := float64(a.limit)
	return float64(rest) < misleadBelow*limit && float64(told.Idle-is.Idle) > misleadLeast*limit
}

// adopt takes what the record confirms of the ledger's own row.
func (a *account) adopt(row Row) {
	a.granted = max(a.granted, row.Granted)
}

// wish returns the tokens to be granted now: what waiting requests need and, if
// the holding is low, enough to fill it.
func (a *account) wish(rest granitehoist.Tokens, o outlook, below float64) granitehoist.Tokens {
	if rest <= 0 {
		return 0
	}
	need := a.need(rest, o.now)
	target := a.target(rest, o)
	free := a.owned()
	if need == 0 && float64(free) >= below*float64(target) {
		return 0
	}
	return max(0, min(rest, need+max(0, target-max(0, free))))
}

// need returns what the waiting requests that can be served lack.
func (a *account) need(rest granitehoist.Tokens, now time.Time) granitehoist.Tokens {
	bounds := make([]granitehoist.Tokens, 0, len(a.waiters))
	for _, w := range a.waiters {
		if a.tapered(w.demand, now) {
			continue
		}
		bounds = append(bounds, w.bound)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	have := rest + max(0, a.owned())
	var sum granitehoist.Tokens
	for _, bound := range bounds {
		if sum+bound > have {
			break
		}
		sum += bound
	}
	return max(0, sum-max(0, a.owned()))
}

// giveBack returns the free tokens that the router should not keep.
func (a *account) giveBack(rest granitehoist.Tokens, o outlook, closing bool) granitehoist.Tokens {
	free := a.owned()
	switch {
	case free <= 0:
		return 0
	case closing:
		return free
	case rest < 0:
		return min(free, -rest)
	case len(a.waiters) > 0:
		return 0
	}
	target := a.target(rest, o)
	extra := free - target
	above := returnAbove
	if o.exposed < 1 {
		above = returnExposed
	}
	least := returnLeast
	if float64(rest) < endBelow*float64(a.limit) {
		least = returnLeastAtEnd
	}
	if float64(free) <= above*float64(target) || float64(extra) < least*float64(a.limit) {
		return 0
	}
	return extra
}

// confirm takes in a sync whose outcome is known: the record as it now is.
func (l *Ledger) confirm(r *Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w, a := range l.accounts {
		if stored, ok := r.Accounts[w]; ok {
			a.adopt(stored.Rows[l.settings.Incarnation])
		}
		if a.known {
			a.frozen = false
		}
		a.changed = false
		l.wake(a, now)
		l.refuse(a, now)
	}
}

// urgent reports whether requests wait or a limit has changed, and due whether
// a sync would change something.
func (l *Ledger) urgent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if len(a.waiters) > 0 || a.frozen || a.changed {
			return true
		}
	}
	return false
}

// low reports whether a holding is low or requests wait.
func (l *Ledger) low(o outlook) bool {
	for _, a := range l.accounts {
		target := a.target(a.rest, o)
		if len(a.waiters) > 0 || float64(a.owned()) < refillBelow*float64(target) {
			return true
		}
	}
	return false
}

// syncLeast is how often the record is read at least, so that what lenders tell
// of it is not old.
const syncLeast = 2 * time.Second

// due reports whether a sync is worth a call: a holding is low, free tokens may
// be missed elsewhere, or the record has not been read for long.
func (l *Ledger) due(routers int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.contact.synced) > syncLeast {
		return true
	}
	o := l.outlook(routers, now)
	for _, a := range l.accounts {
		target := a.target(a.rest, o)
		if a.rest > 0 && float64(a.owned()) < refillBelow*float64(target) {
			return true
		}
		if a.giveBack(a.rest, o, l.closing) > 0 {
			return true
		}
	}
	return false
}
