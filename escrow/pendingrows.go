// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// pendingRows holds this router's rows that one sync is about to write, by workspace.
type pendingRows map[granitehoist.Workspace]pendingRow

// pendingRow is a row that a sync is about to write.
type pendingRow struct {
	row Row
	// remaining is what the store has left of limit, the prepaid total, after the write.
	remaining granitehoist.Tokens
	limit     granitehoist.Tokens
	// unconfirmed is that of the account.
	unconfirmed granitehoist.Tokens
}

// usesRecord decides whether this router reads and writes the record for an account. A
// borrower does so only after the limit was reduced, at shutdown, or if no lender
// responded; a router of any other role always does.
func (a *account) usesRecord(c conditions) bool {
	return !c.role.borrows() || a.owned.limitUnconfirmed || c.closing || a.lendersFailed || a.mustRewrite(c.era)
}

// mustRewrite reports whether the store may have lost grants of this incarnation, so that it
// has to write its row again.
func (a *account) mustRewrite(era granitehoist.Era) bool {
	return a.owned.granted > 0 && a.writtenIn < era
}

// needsWrite reports whether the record has to be written.
func (p pendingRows) needsWrite() bool { return len(p) > 0 }

// updateRows puts this router's next rows into r, the record of a scope, and returns the
// rows that have to be written. batched means that r is written together with other
// records. If batched is set or anyLow is true, holdings are filled below
// jointRefillThreshold instead of refillThreshold. routers is the number of routers that
// share the budgets. updateRows deducts returned tokens from owned at once; confirm adds
// granted ones after the write.
func (l *Ledger) updateRows(r *Record, in scope, batched bool, routers int, now time.Time) pendingRows {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pendingRows{}
	all := l.conditions(routers, now)
	threshold := refillThreshold
	if batched || l.anyLow(in, all) {
		threshold = jointRefillThreshold
	}
	self := l.settings.Incarnation
	for w, a := range l.accounts {
		c := all.withRole(l.role(w, a, now))
		if !in.covers(w) || !a.usesRecord(c) {
			continue
		}
		stored := r.account(w)
		found := stored.Rows[self]
		a.ceilings.observe(stored, r.era, now)
		a.owned.confirmGranted(found.Granted)
		row := a.rewritten(found, r.era)
		if row != found {
			stored.reveal(func() { stored.Rows[self] = row })
		}
		if r.isConfirmed() {
			stored.confirmAll(r.era)
		}
		stored.limitUnconfirmed(a.owned.limit)
		a.demand.othersRate = float64(stored.rateOfOthers(self))
		remaining := a.owned.limit - stored.Outstanding()
		next := a.nextRow(row, remaining, c, threshold, a.ceilings.grantLimit(stored, c.lossWindow, now))
		after := remaining - (next.Granted - row.Granted) + (next.Returned - row.Returned)
		next.Era = r.era
		a.lastTarget = a.target(remaining, c)
		ceiling := a.ceilingInputs(after, c)
		if row != found || rowNeedsWrite(row, next, remaining, a.owned.limit) || ceiling.needsRaise(stored) || a.mustRestate(l.settings.Machine, now) {
			next.Bound = a.nextBound(l.settings.Machine, c, a.lastTarget)
			a.bounds.state(next.Bound, a.owned.used())
			stored.Rows[self] = next
			a.ceilings.announce(stored, ceiling, now)
			p[w] = pendingRow{row: next, remaining: after, unconfirmed: stored.Unconfirmed, limit: a.owned.limit}
		}
		a.routers = routers
		a.fleet.record = recordView{
			remaining: after, idleOfOthers: stored.IdleOfOthers(self), readAt: now, valid: true,
		}
	}
	return p
}

// rewritten returns a row of this incarnation, as found in the store, with what the store may
// have lost: the confirmed grants, and the returns. A row that lacks nothing is returned
// unchanged.
func (a *account) rewritten(found Row, era granitehoist.Era) Row {
	if found == (Row{}) && a.owned.granted == 0 {
		return found
	}
	row := found
	row.Granted = max(row.Granted, a.owned.granted)
	if row.isStale(era) {
		row.Returned = max(row.Returned, a.owned.returned)
		row.Era = era
	}
	return row
}

// nextRow returns this router's next row, with the tokens to be granted and returned. It
// deducts the returned tokens from owned. remaining is what the store has left. threshold
// is the fraction of the target below which the holding is filled, grantLimit the most that
// may be granted.
func (a *account) nextRow(row Row, remaining granitehoist.Tokens, c conditions, threshold float64, grantLimit granitehoist.Tokens) Row {
	next := row
	next.Spent = a.owned.spent
	next.Rate = granitehoist.Tokens(a.demand.rate.value(c.now))
	a.owned.returnToStore(a.returnInputs(remaining, c).tokens(c))
	next.Returned = a.owned.returned
	if !c.closing {
		wanted := a.grant(remaining+next.Returned-row.Returned, c, threshold)
		granted := min(wanted, grantLimit)
		next.Granted += granted
		a.ceilingBound = granted < wanted
	}
	next.Idle = max(0, a.owned.unreserved()+next.Granted-row.Granted)
	return next
}

// confirm completes a sync that succeeded: it adds the confirmed grants to owned and
// decides on the waiting requests. r is the record of a scope as stored.
func (l *Ledger) confirm(r *Record, in scope, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions(0, now)
	for w, a := range l.accounts {
		if !in.covers(w) || !a.usesRecord(c.withRole(l.role(w, a, now))) {
			continue
		}
		a.lendersFailed = false
		if stored, ok := r.Accounts[w]; ok {
			row := stored.Rows[l.settings.Incarnation]
			a.owned.confirmGranted(row.Granted)
			a.bounds.confirm(row.Bound)
			a.ceilings.observe(stored, r.era, now)
			a.writtenIn = max(a.writtenIn, row.Era)
		}
		if a.fleet.record.valid {
			a.owned.limitUnconfirmed = false
		}
		a.limitChanged = false
		l.admitWaiters(a, now)
		l.refuseAndAdmitWaiters(a, now)
	}
}
