// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import "granitehoist.example/granitehoist/internal/event"

// boxState holds the latest lines of a box that bear on its requests, as of the
// lines read so far. A field is nil until there was such a line.
type boxState struct {
	// config is the line of the configuration in force.
	config *Line
	// stores says, by prefix, whether the store was lost or regained.
	stores map[string]*Line
	// sync is the last sync of the budgets that failed, nil after one that
	// brought tokens.
	sync *Line
	// restart is the last start of the router or order to stop it.
	restart *Line
	// upstreams holds the latest announcement of each instance.
	upstreams map[string]*Line
	// unreachable is the end of the request if it was refused because the store
	// gave no answer, while no call to the store had failed yet. It is nil again
	// once a later line says which call failed, or that the store answered.
	unreachable *Line
}

func newBoxState() *boxState {
	return &boxState{stores: map[string]*Line{}, upstreams: map[string]*Line{}}
}

// note keeps a line that later requests may depend on. A start ends what was
// known: the lines before it are of a process that has ended.
func (b *boxState) note(l *Line) {
	switch l.Event {
	case event.ConfigInForce:
		b.config = l
	case event.StoreLost, event.StoreRegained:
		b.stores[l.Get("prefix")] = l
	case event.BudgetSyncFailed:
		b.sync = l
	case event.BudgetGrant:
		b.sync, b.unreachable = nil, nil
	case event.Start:
		*b = *newBoxState()
		b.restart = l
	case event.Stop:
		b.restart = l
	case event.Upstream, event.UpstreamGone:
		b.upstreams[l.Get("upstream")] = l
	}
}

// longestLost returns the line since which the store has been lost for the
// longest time, of all prefixes; nil if it is lost for none.
func (b *boxState) longestLost() *Line {
	var longest *Line
	for _, l := range b.stores {
		if l.Event == event.StoreLost && (longest == nil || l.At < longest.At) {
			longest = l
		}
	}
	return longest
}
