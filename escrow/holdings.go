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
		now: now, routers: max(1, routers), cover: l.settings.Cover, startPart: startPart, sharePart: sharePart,
		exposedPart: exposedPart(l.contact.outageEnded, now), closing: l.closing,
	}
	if l.settings.LendsToAll != nil && l.settings.LendsToAll() {
		c = c.lendingToAll()
	}
	if !l.began.IsZero() {
		c.confidence = min(1, now.Sub(l.began).Seconds()/rateTime.Seconds())
	}
	return c
}

// mustSync reports whether requests wait or a limit has changed.
func (l *Ledger) mustSync() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if len(a.waiters) > 0 || a.owned.frozen || a.limitChanged {
			return true
		}
	}
	return false
}

// due reports whether a sync is worth a call: the record is old, or a holding needs
// one.
func (l *Ledger) due(routers int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isRecordOld(l.contact.lastDirectAnswer, now) {
		return true
	}
	c := l.conditions(routers, now)
	for _, a := range l.accounts {
		if a.storeReturn(a.fleet.record.remaining, c).needsSync(c) {
			return true
		}
	}
	return false
}

// anyLow reports whether a holding is low or requests wait. The caller holds mu.
func (l *Ledger) anyLow(c conditions) bool {
	for _, a := range l.accounts {
		target := a.target(a.fleet.record.remaining, c)
		if len(a.waiters) > 0 || isLow(a.owned.unreserved(), target, refillBelow) {
			return true
		}
	}
	return false
}

// waiterShortages returns what requests wait for, by workspace.
func (l *Ledger) waiterShortages(now time.Time) []shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	// forWaiters does not use the target, so the number of routers does not matter.
	c := l.conditions(0, now)
	var shortages []shortage
	for w, a := range l.accounts {
		if len(a.waiters) == 0 || a.owned.frozen {
			continue
		}
		short := a.shortageInputs(c).forWaiters(c)
		short.workspace = w
		shortages = append(shortages, short)
	}
	return shortages
}

// holdingShortages returns what a router behind relays asks them for, by workspace.
func (l *Ledger) holdingShortages(routers int, now time.Time) []shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions(routers, now).behindRelay()
	var shortages []shortage
	for w, a := range l.accounts {
		a.routers = routers
		if short := a.shortageInputs(c).forHolding(); short.want > 0 {
			short.workspace = w
			shortages = append(shortages, short)
		}
	}
	return shortages
}

// holdingShortage returns what a router behind relays asks them for in one workspace.
func (l *Ledger) holdingShortage(w granitehoist.Workspace, routers int, now time.Time) shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions(routers, now).behindRelay()
	short := l.account(w).shortageInputs(c).forHolding()
	short.workspace = w
	return short
}

// surpluses returns what a router that does not write the record holds beyond
// its needs, by workspace.
func (l *Ledger) surpluses(routers int, now time.Time) []surplus {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions(routers, now).behindRelay()
	var found []surplus
	for w, a := range l.accounts {
		free := a.owned.free()
		if free <= 0 || len(a.waiters) > 0 {
			continue
		}
		target := a.target(a.fleet.remainingInStore(a.owned.limit), c)
		if l.closing {
			target = 0
		}
		if tokens := surplusOf(free, target, a.owned.limit); tokens > 0 {
			found = append(found, surplus{w, tokens})
		}
	}
	return found
}

// noteRelaysAsked notes that relays were asked, and reports whether the record is
// not needed as well. It is needed after a reduction of a limit, and while requests
// wait and no relay is in touch with the store.
func (l *Ledger) noteRelaysAsked(inTouch bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := true
	for _, a := range l.accounts {
		a.limitChanged = false
		done = done && !a.owned.frozen && (inTouch || len(a.waiters) == 0)
	}
	return done
}
