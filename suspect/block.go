// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import "time"

const (
	// firstScopeBlock is how long a scope is refused at first, and maxScopeBlock at most;
	// each further round doubles it. After a block its requests are tried again at one
	// upstream: an innocent scope is free after seconds, and one that goes on crashes one
	// upstream in half a minute.
	firstScopeBlock = 5 * time.Second
	maxScopeBlock   = 30 * time.Second
)

// blockOf decides how long a request or scope is refused whose evidence suffices.
func (t *Table) blockOf(e *entry) time.Duration {
	if !e.ofScope {
		return t.settings.Block
	}
	early, _ := e.earlyRound()
	doublings := min(max(0, early-enoughEarlyOfScope), 3)
	return min(maxScopeBlock, firstScopeBlock<<doublings)
}

// clearLoss clears the later rounds that began in a loss of many upstreams, before it could
// be told as one. First rounds stay: requests that are no suspects yet crash as many
// upstreams as they run on. The caller holds mu.
func (t *Table) clearLoss(now time.Time) {
	if !t.crashed.inLoss(now) {
		return
	}
	for _, e := range t.entries {
		before := e.round()
		if before < 2 || now.Sub(e.roundAt) > lossTime {
			continue
		}
		e.clearRound(before)
		if !e.enough(e.ofScope) {
			e.refusedUntil = time.Time{}
		}
		t.recount(before, e.round())
		t.noteOwn(e)
	}
}
