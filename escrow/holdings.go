// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
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
	}
	if !l.began.IsZero() {
		c.confidence = min(1, now.Sub(l.began).Seconds()/rateTime.Seconds())
	}
	return c
}

// mustSync reports whether requests wait or a limit has changed where this router
// uses the record.
func (l *Ledger) mustSync(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions(0, now)
	for w, a := range l.accounts {
		if a.usesRecord(c.as(l.role(w, a, now))) && (len(a.waiters) > 0 || a.owned.frozen || a.limitChanged) {
			return true
		}
	}
	return false
}

// due reports whether a sync is worth a call: the record is old, or a holding needs
// one. A router that uses the record for no workspace never needs one.
func (l *Ledger) due(routers int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := isRecordOld(l.contact.lastDirectAnswer, now)
	c := l.conditions(routers, now)
	for w, a := range l.accounts {
		c := c.as(l.role(w, a, now))
		if a.usesRecord(c) && (old || a.storeReturn(a.fleet.record.remaining, c).needsSync(c)) {
			return true
		}
	}
	return false
}

// anyLow reports whether a holding is low or requests wait. The caller holds mu.
func (l *Ledger) anyLow(c conditions) bool {
	for w, a := range l.accounts {
		c := c.as(l.role(w, a, c.now))
		if !a.usesRecord(c) {
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
// it asks holders all that is worth a call, elsewhere nothing unless it stops.
func (l *Ledger) surpluses(routers int, now time.Time) []surplus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []surplus
	for w, a := range l.accounts {
		free := a.owned.free()
		if free <= 0 || len(a.waiters) > 0 || (l.role(w, a, now) != Asks && !l.closing) {
			continue
		}
		if isSurplus(free, a.owned.limit, routers) || l.closing {
			found = append(found, surplus{w, free})
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
