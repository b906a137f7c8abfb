// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
)

// The names of roles. A role is held by one router of a region, chosen by rendezvous
// hashing over the fleet view. The role of the allocator of a budget shard has the store key
// of the shard's region record as its name. Routers with different fleet views may hold a
// role at the same time, which only causes conflicts at the store.
const (
	collectorRole = "bill/collector"
	orphanRole    = "orphan/settler"
)

// remoteAllocator returns the allocator of a budget shard, and false if it is this router or
// unknown.
func (r *Router) remoteAllocator(s budget.Shard) (granitehoist.Peer, bool) {
	return r.remoteHolder(budget.RegionKey(r.self.Region, s))
}

// remoteCollector returns the collector of charges, and false if it is this router or
// unknown.
func (r *Router) remoteCollector() (granitehoist.Peer, bool) { return r.remoteHolder(collectorRole) }

// remoteHolder returns the router of the region that holds a role, and false if it is this
// router or unknown.
func (r *Router) remoteHolder(role string) (granitehoist.Peer, bool) {
	m, ok := r.store.members.View().RoleHolder(r.self.Region, role)
	return m.Peer(), ok && m.Incarnation != r.self.Incarnation
}

// hasRole reports whether this router holds a role.
func (r *Router) hasRole(role string) bool {
	m, ok := r.store.members.View().RoleHolder(r.self.Region, role)
	return ok && m.Incarnation == r.self.Incarnation
}

// budgetPeers returns the other routers of the region, from which this one may borrow
// tokens.
func (r *Router) budgetPeers() []granitehoist.Peer {
	var peers []granitehoist.Peer
	for _, m := range r.store.members.View().InRegion(r.self.Region) {
		if m.Incarnation != r.self.Incarnation {
			peers = append(peers, m.Peer())
		}
	}
	return peers
}
