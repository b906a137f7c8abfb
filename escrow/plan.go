// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// plan holds this router's rows that one sync is about to write, by workspace.
type plan map[granitehoist.Workspace]plannedRow

// plannedRow is a row as it is to be written.
type plannedRow struct {
	row Row
	// remaining is what the store has left of limit, the prepaid total, after the
	// write.
	remaining granitehoist.Tokens
	limit     granitehoist.Tokens
}

// usesRecord decides whether this router reads and writes the record for an account:
// always unless it asks holders. It does so too after the limit was reduced, when
// it stops, and when no lender answers.
func (a *account) usesRecord(c conditions) bool {
	return c.role != Asks || a.owned.frozen || c.closing || a.forsaken
}

// isWrite reports whether the record has to be written.
func (p plan) isWrite() bool { return len(p) > 0 }

// prepare writes into r, the record of a scope, the grants and returns that the rules
// ask for; see nextRow. joins says that it is written together with other records, so
// that holdings which are nearly low are filled as well. routers is the number of routers that share the budgets.
// Returns are deducted at once; grants only count when confirm is called with the
// record that has them.
func (l *Ledger) prepare(r *Record, in scope, joins bool, routers int, now time.Time) plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := plan{}
	all := l.conditions(routers, now)
	lowBelow := refillBelow
	if joins || l.anyLow(in, all) {
		lowBelow = joinBelow
	}
	self := l.settings.Incarnation
	for w, a := range l.accounts {
		c := all.as(l.role(w, a, now))
		if !in.covers(w) || !a.usesRecord(c) {
			continue
		}
		stored := r.account(w)
		row := stored.Rows[self]
		a.owned.confirmGranted(row.Granted)
		a.demand.othersRate = float64(stored.rateElsewhere(self))
		remaining := a.owned.limit - stored.Taken()
		next := a.nextRow(row, remaining, c, lowBelow)
		after := remaining - (next.Granted - row.Granted) + (next.Returned - row.Returned)
		if isRowStale(row, next, remaining, a.owned.limit) {
			stored.Rows[self] = next
			p[w] = plannedRow{row: next, remaining: after, limit: a.owned.limit}
		}
		a.lastTarget = a.target(remaining, c)
		a.routers = routers
		a.fleet.record = recordView{
			remaining: after, idleElsewhere: stored.IdleElsewhere(self), readAt: now, valid: true,
		}
	}
	return p
}

// nextRow returns what this router's row should become while the store has
// remaining tokens. It deducts what it returns to the store from what is owned.
// lowBelow is refillBelow, or joinBelow if the record is likely to be written for
// another workspace.
func (a *account) nextRow(row Row, remaining granitehoist.Tokens, c conditions, lowBelow float64) Row {
	next := row
	next.Spent = a.owned.spent
	next.Rate = granitehoist.Tokens(a.demand.rate.value(c.now))
	a.owned.returnToStore(a.storeReturn(remaining, c).tokens(c))
	next.Returned = a.owned.returned
	if !c.closing {
		next.Granted += a.grant(remaining+next.Returned-row.Returned, c, lowBelow)
	}
	next.Idle = max(0, a.owned.unreserved()+next.Granted-row.Granted)
	return next
}

// confirm finishes a sync whose outcome is known; r is the record of a scope as the
// store has it now.
func (l *Ledger) confirm(r *Record, in scope, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions(0, now)
	for w, a := range l.accounts {
		if !in.covers(w) || !a.usesRecord(c.as(l.role(w, a, now))) {
			continue
		}
		a.forsaken = false
		if stored, ok := r.Accounts[w]; ok {
			a.owned.confirmGranted(stored.Rows[l.settings.Incarnation].Granted)
		}
		if a.fleet.record.valid {
			a.owned.frozen = false
		}
		a.limitChanged = false
		l.wake(a, now)
		l.refuseAndWake(a, now)
	}
}
