// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// conditions returns the inputs common to all decisions on holdings at now, before
// conditions.withRole. The caller holds mu.
func (l *Ledger) conditions(routers int, now time.Time) conditions {
	c := conditions{
		now: now, era: l.era, lossWindow: l.settings.LossWindow, routers: max(1, routers), cover: l.settings.Cover,
		initialFraction: initialFraction, maxHeldFraction: maxHeldFraction, spareFraction: spareFraction,
		postOutageHeldFraction: postOutageHeldFraction(l.health.outageEnded, now), closing: l.closing,
		sawOutage: !l.health.outageEnded.IsZero(),
	}
	if !l.firstRequestAt.IsZero() {
		c.observedFraction = min(1, now.Sub(l.firstRequestAt).Seconds()/rateWindow.Seconds())
	}
	return c
}

// shardsToSync returns the shards whose records are to be synced now, among those of
// workspaces for which this router uses the record:
//
//   - the shards where requests wait, a limit has changed, or a holding is too low or
//     too high;
//   - if there are any of these, also the shards with a holding below
//     jointRefillThreshold, since one call writes several records;
//   - if there are none and the store has not responded to this router for maxRecordAge,
//     one shard, so that the record is read again.
func (l *Ledger) shardsToSync(routers int, now time.Time) []Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.conditions(routers, now)
	var needed, joining, used []Shard
	for w, a := range l.accounts {
		c := all.withRole(l.role(w, a, now))
		if !a.usesRecord(c) {
			continue
		}
		used = append(used, ShardOf(w))
		if a.mustSync() || a.mustRewrite(l.era) || a.mustRestate(l.settings.Machine, now) || a.returnInputs(a.fleet.record.remaining, c).needsSync(c) {
			needed = append(needed, ShardOf(w))
			continue
		}
		remaining := a.fleet.record.remaining
		if remaining > 0 && isLow(a.owned.unreserved(), a.target(remaining, c), jointRefillThreshold) {
			joining = append(joining, ShardOf(w))
		}
	}
	if len(needed) == 0 && len(used) > 0 && isRecordStale(l.health.lastDirectResponse, now) {
		return used[:1]
	}
	if len(needed) > 0 {
		needed = append(needed, joining...)
	}
	slices.Sort(needed)
	return slices.Compact(needed)
}

// usedShards returns the shards for which this router uses the record.
func (l *Ledger) usedShards(now time.Time) []Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.conditions(0, now)
	var used []Shard
	for w, a := range l.accounts {
		if a.usesRecord(all.withRole(l.role(w, a, now))) {
			used = append(used, ShardOf(w))
		}
	}
	slices.Sort(used)
	return slices.Compact(used)
}

// mustSync reports whether requests wait or the limit has changed.
func (a *account) mustSync() bool {
	return len(a.waiters) > 0 || a.owned.limitUnconfirmed || a.limitChanged
}

// anyLow reports whether any workspace of a scope has a holding below refillThreshold or
// waiting requests. The caller holds mu.
func (l *Ledger) anyLow(in scope, all conditions) bool {
	for w, a := range l.accounts {
		c := all.withRole(l.role(w, a, all.now))
		if !in.covers(w) || !a.usesRecord(c) {
			continue
		}
		target := a.target(a.fleet.record.remaining, c)
		if len(a.waiters) > 0 || isLow(a.owned.unreserved(), target, refillThreshold) {
			return true
		}
	}
	return false
}

// loanRequestsForWaiters returns the loans that waiting requests need, one per
// workspace. Borrowers request them in Syncer.borrowForRequest instead.
func (l *Ledger) loanRequestsForWaiters(now time.Time) []loanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	// forWaiters does not use the target, so the number of routers does not matter.
	c := l.conditions(0, now)
	var requests []loanRequest
	for w, a := range l.accounts {
		if len(a.waiters) == 0 || a.owned.limitUnconfirmed || l.role(w, a, now).borrows() {
			continue
		}
		request := a.loanRequestInputs(c).forWaiters(c)
		request.workspace = w
		requests = append(requests, request)
	}
	return requests
}

// surpluses returns the free tokens that this router can transfer to neighbours, by
// workspace: all if the ledger is closing; otherwise, at a borrower, what exceeds two
// batches if isSurplus says that it is worth a call, and nothing in other roles. It
// skips workspaces with waiting requests.
func (l *Ledger) surpluses(routers int, now time.Time) []surplus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []surplus
	for w, a := range l.accounts {
		free := a.free(l.settings.Machine, now)
		if free <= 0 || len(a.waiters) > 0 || (!l.role(w, a, now).borrows() && !l.closing) {
			continue
		}
		extra := free - 2*a.batchSize(now)
		if l.closing {
			extra = free
		}
		if isSurplus(extra, a.owned.limit, routers) || l.closing {
			found = append(found, surplus{w, extra})
		}
	}
	return found
}

// hasFree reports whether any workspace has free tokens.
func (l *Ledger) hasFree() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.owned.free() > 0 {
			return true
		}
	}
	return false
}

// noteLendersFailed records that no lender of a workspace responded.
func (l *Ledger) noteLendersFailed(w granitehoist.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(w).lendersFailed = true
}
