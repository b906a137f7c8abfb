// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"slices"

	"granitehoist.example/granitehoist/escrow"
)

// This file decides which node holds the prepaid tokens of a shard of the
// workspaces, and which ones a node asks for them. In a small fleet every node takes
// tokens from the record for itself. In a large one each shard has one holder, which
// sees its whole demand and lends to all others. Holders are chosen by rendezvous
// hashing, so that all nodes that know the same boxes choose the same ones without a
// message, and the loss of a box moves only what it held. A wrong answer here costs
// calls and time, never tokens.

const (
	// rankedPerShard is the number of nodes that are ranked for a shard: the holder, and
	// those that stand in for it, one after the other.
	rankedPerShard = 3
	// holderLinkPart is the part of the fastest link in the fleet that a holder's link has
	// at least: links on the users' sites differ by a factor of ten or twenty, and a
	// holder answers for the whole fleet.
	holderLinkPart = 0.5
)

// role returns this node's role for the tokens of a shard with the given ranked
// nodes. A node whose view is not complete yet asks others, since in a fleet that is
// still filling every node would be a holder.
func (v fleetView) role(ranked []peerEntry) escrow.Role {
	switch {
	case !v.complete:
		return escrow.Asks
	case v.isSmall():
		return escrow.Shares
	case ranked[0].Box == v.self.Box:
		return escrow.Holds
	}
	return escrow.Asks
}

// dividesRecord reports whether the fleet is so large that the record of the budgets
// is divided.
func (v fleetView) dividesRecord() bool { return v.complete && !v.isSmall() }

// ranked returns the node that holds a shard and then those that stand in for it.
// Nodes with links below holderLinkPart of the fastest are left out.
func (v fleetView) ranked(shard escrow.Shard) []peerEntry {
	var best []scoredPeer
	for _, candidate := range v.holderCandidates() {
		best = withScored(best, scoredPeer{entry: candidate, score: scoreOf(shard, candidate)})
	}
	ranked := make([]peerEntry, 0, len(best))
	for _, each := range best {
		ranked = append(ranked, each.entry)
	}
	return ranked
}

// holderCandidates returns the nodes that may be holders.
func (v fleetView) holderCandidates() []peerEntry {
	all := append([]peerEntry{v.self}, v.others...)
	fastest := 0.0
	for _, entry := range all {
		fastest = max(fastest, entry.LinkMbps)
	}
	return slices.DeleteFunc(all, func(e peerEntry) bool { return e.LinkMbps < holderLinkPart*fastest })
}

// scoredPeer is a node with its score for a shard.
type scoredPeer struct {
	entry peerEntry
	score uint64
}

// scoreOf returns the score of a node for a shard. The lowest one holds it.
func scoreOf(shard escrow.Shard, e peerEntry) uint64 { return mix(uint64(shard) ^ rankOf(e.Box)) }

// mix spreads the bits of a number (the finalizer of splitmix64), so that the scores
// of one box for different shards are independent.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// withScored adds a node to those with the lowest scores, of which it keeps
// rankedPerShard.
func withScored(best []scoredPeer, next scoredPeer) []scoredPeer {
	at, _ := slices.BinarySearchFunc(best, next, func(a, b scoredPeer) int { return cmp.Compare(a.score, b.score) })
	best = slices.Insert(best, at, next)
	return best[:min(len(best), rankedPerShard)]
}

// lenders returns the neighbours in the order in which this node asks them for a loan
// of the tokens of a shard with the given ranked nodes: in a small fleet all of them
// by rank, in a large one the holder and those that stand in for it.
func (v fleetView) lenders(ranked []peerEntry) []escrow.Lender {
	if v.isSmall() {
		others := slices.Clone(v.others)
		slices.SortFunc(others, compareRank)
		return lendersOf(others)
	}
	lenders := lendersOf(ranked)
	for i := range lenders {
		lenders[i].StandsIn = i > 0
	}
	self := v.self.peer()
	return slices.DeleteFunc(lenders, func(l escrow.Lender) bool { return l.Peer == self })
}

func lendersOf(entries []peerEntry) []escrow.Lender {
	lenders := make([]escrow.Lender, 0, len(entries))
	for _, entry := range entries {
		lenders = append(lenders, escrow.Lender{Peer: entry.peer()})
	}
	return lenders
}
