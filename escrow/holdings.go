// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// conditions returns what decisions on holdings depend on at a time. The caller
// holds mu.
func (l *Ledger) conditions(routers int, now time.Time) conditions {
	c := conditions{
		now: now, routers: max(1, routers), cover: l.settings.Cover,
		startPart: startPart, sharePart: sharePart, sparePart: sparePart,
		exposedPart: exposedPart(l.contact.outageEnded, now), closing: l.closing,
		sawOutage: !l.contact.outageEnded.IsZero(),
	}
	if !l.began.IsZero() {
		c.confidence = min(1, now.Sub(l.began).Seconds()/rateTime.Seconds())
	}
	return c
}

// neededShards returns the shards of which a sync is worth a call: requests wait, a
// limit has changed, or a holding needs one. If there are some, those whose holdings are
// nearly low join them, since one call writes all. If there is none and the store has not
// been heard of for a while, it is one of those for which this router uses the
// record. A router that uses it for none needs none.
func (l *Ledger) neededShards(routers int, now time.Time) []Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.conditions(routers, now)
	var needed, joining, used []Shard
	for w, a := range l.accounts {
		c := all.as(l.role(w, a, now))
		if !a.usesRecord(c) {
			continue
		}
		used = append(used, ShardOf(w))
		if a.mustSync() || a.storeReturn(a.fleet.record.remaining, c).needsSync(c) {
			needed = append(needed, ShardOf(w))
			continue
		}
		remaining := a.fleet.record.remaining
		if remaining > 0 && isLow(a.owned.unreserved(), a.target(remaining, c), joinBelow) {
			joining = append(joining, ShardOf(w))
		}
	}
	if len(needed) == 0 && len(used) > 0 && isRecordOld(l.contact.lastDirectAnswer, now) {
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
		if a.usesRecord(all.as(l.role(w, a, now))) {
			used = append(used, ShardOf(w))
		}
	}
	slices.Sort(used)
	return slices.Compact(used)
}

// mustSync reports whether requests wait or the limit has changed.
func (a *account) mustSync() bool {
	return len(a.waiters) > 0 || a.owned.frozen || a.limitChanged
}

// anyLow reports whether a holding of a scope is low or requests wait. The caller
// holds mu.
func (l *Ledger) anyLow(in scope, all conditions) bool {
	for w, a := range l.accounts {
		c := all.as(l.role(w, a, all.now))
		if !in.covers(w) || !a.usesRecord(c) {
			continue
		}
		target := a.target(a.fleet.record.remaining, c)
		if len(a.waiters) > 0 || isLow(a.owned.unreserved(), target, refillBelow) {
			return true
		}
	}
	return false
}

// waiterShortages returns what requests wait for, by workspace. Those of a router
// that asks holders ask by themselves (Syncer.ask).
func (l *Ledger) waiterShortages(now time.Time) []shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	// forWaiters does not use the target, so the number of routers does not matter.
	c := l.conditions(0, now)
	var shortages []shortage
	for w, a := range l.accounts {
		if len(a.waiters) == 0 || a.owned.frozen || l.role(w, a, now) == Asks {
			continue
		}
		short := a.shortageInputs(c).forWaiters(c)
		short.workspace = w
		shortages = append(shortages, short)
	}
	return shortages
}

// surpluses returns what this router has free and does not need, by workspace: where
// it asks holders what is beyond two packets and worth a call, elsewhere nothing
// unless it stops.
func (l *Ledger) surpluses(routers int, now time.Time) []surplus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []surplus
	for w, a := range l.accounts {
		free := a.owned.free()
		if free <= 0 || len(a.waiters) > 0 || (l.role(w, a, now) != Asks && !l.closing) {
			continue
		}
		extra := free - 2*a.packet(now)
		if l.closing {
			extra = free
		}
		if isSurplus(extra, a.owned.limit, routers) || l.closing {
			found = append(found, surplus{w, extra})
		}
	}
	return found
}

// hasFree reports whether anything is free.
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

// noteForsaken notes that no lender answered for a workspace.
func (l *Ledger) noteForsaken(w granitehoist.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(w).forsaken = true
}
