// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import "granitehoist.example/granitehoist/internal/event"

// boxState holds the latest log lines of a box that affect its requests. A field is
// nil until such a line has been read.
type boxState struct {
	// config is the line of the active configuration.
	config *Line
	// stores holds the last store_lost or store_regained line of each key prefix.
	stores map[string]*Line
	// failedSync is the last failed budget sync, nil once a later grant succeeded.
	failedSync *Line
	// startStop is the last start or stop line of the router.
	startStop *Line
	// upstreams holds the latest upstream or upstream_gone line of each instance.
	upstreams map[string]*Line
	// unexplainedRefusal is the line of the explained request if it was refused because
	// the store did not respond, but the line reports no earlier failed budget call. It
	// is reset by the next failed call or the next grant.
	unexplainedRefusal *Line
}

func newBoxState() *boxState {
	return &boxState{stores: map[string]*Line{}, upstreams: map[string]*Line{}}
}

// update records a line that affects later requests. A start line discards the state
// of the previous process.
func (b *boxState) update(l *Line) {
	switch l.Event {
	case event.ConfigInForce:
		b.config = l
	case event.StoreLost, event.StoreRegained:
		b.stores[l.Get("prefix")] = l
	case event.BudgetSyncFailed:
		b.failedSync = l
	case event.BudgetGrant:
		b.failedSync, b.unexplainedRefusal = nil, nil
	case event.Start:
		*b = *newBoxState()
		b.startStop = l
	case event.Stop:
		b.startStop = l
	case event.Upstream, event.UpstreamGone:
		b.upstreams[l.Get("upstream")] = l
	}
}

// longestOutage returns the store_lost line of the longest outage that still lasts,
// over all prefixes; nil if there is none.
func (b *boxState) longestOutage() *Line {
	var longest *Line
	for _, l := range b.stores {
		if l.Event == event.StoreLost && (longest == nil || l.At < longest.At) {
			longest = l
		}
	}
	return longest
}
