// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
)

// Roles that one router of a region has at a time, by rendezvous hashing over
// the view; a shard's keeper has the key of its page as its role. Two routers
// whose views differ may both act, which costs conflicts at the store only.
const (
	collectorRole = "bill/collector"
	orphanRole    = "orphan/settler"
)

// remoteKeeper returns the other router that keeps a shard's page.
func (r *Router) remoteKeeper(s budget.Shard) (granitehoist.Peer, bool) {
	return r.otherWithRole(budget.PageKey(r.self.Region, s))
}

// remoteCollector returns the other router that collects bills.
func (r *Router) remoteCollector() (granitehoist.Peer, bool) { return r.otherWithRole(collectorRole) }

// otherWithRole returns the other router of the region that has a role, and false if
// it is this one or the view has none.
func (r *Router) otherWithRole(role string) (granitehoist.Peer, bool) {
	m, ok := r.store.members.View().Holder(r.self.Region, role)
	return m.Peer(), ok && m.Incarnation != r.self.Incarnation
}

// hasRole reports whether this router has a role.
func (r *Router) hasRole(role string) bool {
	m, ok := r.store.members.View().Holder(r.self.Region, role)
	return ok && m.Incarnation == r.self.Incarnation
}

// budgetPeers returns the routers that this one may borrow from.
func (r *Router) budgetPeers() []granitehoist.Peer {
	var peers []granitehoist.Peer
	for _, m := range r.store.members.View().Region(r.self.Region) {
		if m.Incarnation != r.self.Incarnation {
			peers = append(peers, m.Peer())
		}
	}
	return peers
}
