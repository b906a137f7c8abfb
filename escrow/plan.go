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
	// remaining holds what the store has left after the write, and limits the prepaid
	// totals that this was worked out with.
	remaining map[granitehoist.Workspace]granitehoist.Tokens
	limits    map[granitehoist.Workspace]granitehoist.Tokens
}

// prepare enters the ledger's wishes into a record that was just read. routers
// is the number of routers that share the budgets.
func (l *Ledger) prepare(r *Record, routers int, now time.Time) plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := plan{
		rows:      map[granitehoist.Workspace]Row{},
		remaining: map[granitehoist.Workspace]granitehoist.Tokens{},
		limits:    map[granitehoist.Workspace]granitehoist.Tokens{},
	}
	o := l.conditions(routers, now)
	below := refillBelow
	if l.anyLow(o) {
		below = joinBelow
	}
	for w, a := range l.accounts {
		stored := r.account(w)
		row := stored.Rows[l.settings.Incarnation]
		a.owned.confirmGranted(row.Granted)
		remaining := a.owned.limit - stored.Taken()
		next := row
		next.Spent = a.owned.spent
		next.Rate = granitehoist.Tokens(a.demand.rate.value(now) + a.demand.borrowersRate(now))
		a.demand.othersRate = float64(stored.rateElsewhere(l.settings.Incarnation))
		give := a.returnable(remaining, o, l.closing)
		a.owned.giveBack(give)
		next.Returned = a.owned.returned
		if !l.closing {
			next.Granted += a.grantWanted(remaining+next.Returned-row.Returned, o, below)
		}
		next.Idle = max(0, a.owned.unreserved()+next.Granted-row.Granted)
		if next.Granted != row.Granted || next.Returned != row.Returned || a.staleIdle(row, next, remaining) {
			stored.Rows[l.settings.Incarnation] = next
			p.rows[w] = next
			p.changed = true
		}
		a.fleet.record.valid = true
		a.lastTarget = a.target(remaining, o)
		a.routers = routers
		a.fleet.record.remaining = remaining - (next.Granted - row.Granted) + (next.Returned - row.Returned)
		p.remaining[w] = a.fleet.record.remaining
		p.limits[w] = a.owned.limit
		a.fleet.record.idleElsewhere = stored.IdleElsewhere(l.settings.Incarnation)
		a.fleet.record.idleAtBorrowers = a.demand.borrowersIdle("", now)
		a.fleet.record.readAt = now
	}
	return p
}

// Near the end of a budget others take what a row tells to be idle for what they
// may still get by a loan.
const (
	staleIdleBelow = 0.1
	staleIdlePart  = 0.001
)

// staleIdle reports whether a row tells much more idle tokens than there are
// while little is left.
func (a *account) staleIdle(told, is Row, remaining granitehoist.Tokens) bool {
	limit := float64(a.owned.limit)
	return float64(remaining) < staleIdleBelow*limit && float64(told.Idle-is.Idle) > staleIdlePart*limit
}

// grantWanted returns the tokens to be granted now: what waiting requests need and, if
// the holding is low, enough to fill it.
func (a *account) grantWanted(remaining granitehoist.Tokens, o conditions, below float64) granitehoist.Tokens {
	if remaining <= 0 {
		return 0
	}
	need := a.lackOfWaiters(remaining, o.now)
	target := a.target(remaining, o)
	free := a.owned.unreserved()
	if need == 0 && float64(free) >= below*float64(target) {
		return 0
	}
	return max(0, min(remaining, need+max(0, target-max(0, free))))
}

// lackOfWaiters returns what the waiting requests that can be served lack.
func (a *account) lackOfWaiters(remaining granitehoist.Tokens, now time.Time) granitehoist.Tokens {
	bounds := make([]granitehoist.Tokens, 0, len(a.waiters))
	for _, w := range a.waiters {
		if a.judgeEnd(w.claim, now).withholds() {
			continue
		}
		bounds = append(bounds, w.bound)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	have := remaining + max(0, a.owned.unreserved())
	var sum granitehoist.Tokens
	for _, bound := range bounds {
		if sum+bound > have {
			break
		}
		sum += bound
	}
	return max(0, sum-max(0, a.owned.unreserved()))
}

// returnable returns the free tokens that the router should not keep.
func (a *account) returnable(remaining granitehoist.Tokens, o conditions, closing bool) granitehoist.Tokens {
	free := a.owned.unreserved()
	switch {
	case free <= 0:
		return 0
	case closing:
		return free
	case remaining < 0:
		return min(free, -remaining)
	case len(a.waiters) > 0:
		return 0
	}
	target := a.target(remaining, o)
	extra := free - target
	above := returnAboveTarget
	if o.exposedPart < 1 {
		above = returnAboveTargetAfterOutage
	}
	least := minReturnPart
	if float64(remaining) < endPart*float64(a.owned.limit) {
		least = minReturnPartAtEnd
	}
	if float64(free) <= above*float64(target) || float64(extra) < least*float64(a.owned.limit) {
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
			a.owned.confirmGranted(stored.Rows[l.settings.Incarnation].Granted)
		}
		if a.fleet.record.valid {
			a.owned.frozen = false
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
		if len(a.waiters) > 0 || a.owned.frozen || a.changed {
			return true
		}
	}
	return false
}

// anyLow reports whether a holding is low or requests wait.
func (l *Ledger) anyLow(o conditions) bool {
	for _, a := range l.accounts {
		target := a.target(a.fleet.record.remaining, o)
		if len(a.waiters) > 0 || float64(a.owned.unreserved()) < refillBelow*float64(target) {
			return true
		}
	}
	return false
}

// maxRecordAge is how often the record is read at least, so that what lenders tell
// of it is not old.
const maxRecordAge = 2 * time.Second

// due reports whether a sync is worth a call: a holding is low, free tokens may
// be missed elsewhere, or the record has not been read for long.
func (l *Ledger) due(routers int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.contact.lastSync) > maxRecordAge {
		return true
	}
	o := l.conditions(routers, now)
	for _, a := range l.accounts {
		target := a.target(a.fleet.record.remaining, o)
		if a.fleet.record.remaining > 0 && float64(a.owned.unreserved()) < refillBelow*float64(target) {
			return true
		}
		if a.returnable(a.fleet.record.remaining, o, l.closing) > 0 {
			return true
		}
	}
	return false
}
