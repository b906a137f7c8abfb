// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// In a large fleet over several regions, each region other than the holder's has a
// sub-holder for each shard. It borrows from the holder for its region, so that a request
// there rarely waits for a round trip to another region. It is selected by the same
// rendezvous hash among the candidates of its region.

// regionOf returns the region of a node.
func (v fleetView) regionOf(entry peerEntry) granitehoist.Region { return v.regions[entry.Zone] }

// isFar reports whether a node is in another region than this one.
func (v fleetView) isFar(entry peerEntry) bool { return v.regionOf(entry) != v.regionOf(v.self) }

// subHolder returns the sub-holder of a shard in this node's region, given the shard's
// ranked nodes, and the zero entry if the region needs none.
func (v fleetView) subHolder(shard escrow.Shard, ranked []peerEntry) peerEntry {
	if !v.shardsRecord() || !v.isFar(ranked[0]) {
		return peerEntry{}
	}
	var best peerEntry
	for _, candidate := range v.holderCandidates() {
		if v.isFar(candidate) {
			continue
		}
		if best.Box == "" || shardScore(shard, candidate) < shardScore(shard, best) {
			best = candidate
		}
	}
	return best
}

// withSubHolder returns the lenders with the sub-holder first, if there is one and it is
// another node.
func (v fleetView) withSubHolder(sub peerEntry, lenders []escrow.Lender) []escrow.Lender {
	if sub.Box == "" || sub.Box == v.self.Box {
		return lenders
	}
	all := []escrow.Lender{{Peer: sub.peer(), IsSubHolder: true}}
	for _, lender := range lenders {
		if lender.Peer != sub.peer() {
			all = append(all, lender)
		}
	}
	return all
}
