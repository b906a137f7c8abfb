// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import "granitehoist.example/granitehoist/internal/event"

// boxState holds the latest lines of a box that bear on its requests, as of the
// lines read so far. A field is nil until there was such a line.
type boxState struct {
	// config is the line of the configuration in force.
	config *Line
	// store says whether the store was lost or regained.
	store *Line
	// sync is the last sync of the budgets that failed, nil after one that
	// brought tokens.
	sync *Line
	// restart is the last start of the router or order to stop it.
	restart *Line
	// upstreams holds the latest announcement of each instance.
	upstreams map[string]*Line
}

// note keeps a line that later requests may depend on.
func (b *boxState) note(l *Line) {
	switch l.Event {
	case event.ConfigInForce:
		b.config = l
	case event.StoreLost, event.StoreRegained:
		b.store = l
	case event.BudgetSyncFailed:
		b.sync = l
	case event.BudgetGrant:
		b.sync = nil
	case event.Start, event.Stop:
		b.restart = l
	case event.Upstream, event.UpstreamGone:
		b.upstreams[l.Get("upstream")] = l
	}
}
