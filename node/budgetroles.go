// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"slices"

	"granitehoist.example/granitehoist/escrow"
)

// In a small fleet every node takes tokens from the budget record in the store for
// itself. In a large one each shard of the workspaces has one holder, which takes the
// tokens and lends them to all other nodes. Holders are selected by rendezvous hashing, so
// that all nodes that know the same boxes select the same ones without coordination, and
// the loss of a box moves only the shards that it held. Nodes with different views of the
// fleet may select different holders. That costs calls and time, but no tokens are lost.

const (
	// rankedPerShard is the number of nodes ranked for a shard: the holder and its
	// replacements, in order.
	rankedPerShard = 3
	// minHolderLinkRatio is the minimum bandwidth of a holder's link relative to the
	// fastest link in the fleet, since a holder serves the whole fleet. The links of a
	// fleet may differ by a factor of twenty.
	minHolderLinkRatio = 0.5
)

// role returns this node's role for the tokens of a shard with the given ranked nodes. A
// node with an incomplete view is a borrower: while a large fleet starts, its nodes would
// see a small fleet, and every node would take tokens from the store itself.
func (v fleetView) role(ranked []peerEntry) escrow.Role {
	switch {
	case !v.complete:
		return escrow.RoleBorrower
	case v.isSmall():
		return escrow.RoleDirect
	case ranked[0].Box == v.self.Box:
		return escrow.RoleHolder
	}
	return escrow.RoleBorrower
}

// shardsRecord reports whether the fleet is so large that the budget record is split
// into shards.
func (v fleetView) shardsRecord() bool { return v.complete && !v.isSmall() }

// ranked returns the holder of a shard and then its replacements. Nodes with links slower
// than minHolderLinkRatio of the fastest are excluded.
func (v fleetView) ranked(shard escrow.Shard) []peerEntry {
	var best []scoredPeer
	for _, candidate := range v.holderCandidates() {
		best = insertScored(best, scoredPeer{entry: candidate, score: shardScore(shard, candidate)})
	}
	ranked := make([]peerEntry, 0, len(best))
	for _, each := range best {
		ranked = append(ranked, each.entry)
	}
	return ranked
}

// holderCandidates returns the nodes that are eligible as holders.
func (v fleetView) holderCandidates() []peerEntry {
	all := append([]peerEntry{v.self}, v.others...)
	fastest := 0.0
	for _, entry := range all {
		fastest = max(fastest, entry.LinkMbps)
	}
	return slices.DeleteFunc(all, func(e peerEntry) bool { return e.LinkMbps < minHolderLinkRatio*fastest })
}

// scoredPeer is a node with its score for a shard.
type scoredPeer struct {
	entry peerEntry
	score uint64
}

// shardScore returns the rendezvous hash of a node for a shard; the lowest one wins.
func shardScore(shard escrow.Shard, e peerEntry) uint64 {
	return mixBits(uint64(shard) ^ boxHash(e.Box))
}

// mixBits is the finalizer of splitmix64. It makes the scores of one box independent
// across shards.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// insertScored inserts a node into best, ordered by score, and keeps the rankedPerShard
// lowest.
func insertScored(best []scoredPeer, next scoredPeer) []scoredPeer {
	at, _ := slices.BinarySearchFunc(best, next, func(a, b scoredPeer) int { return cmp.Compare(a.score, b.score) })
	best = slices.Insert(best, at, next)
	return best[:min(len(best), rankedPerShard)]
}

// lenders returns the neighbours that this node asks for a loan of a shard's tokens, in
// order: in a small fleet all of them by box hash, in a large one the holder and its
// replacements.
func (v fleetView) lenders(ranked []peerEntry) []escrow.Lender {
	if v.isSmall() {
		others := slices.Clone(v.others)
		slices.SortFunc(others, compareBoxHash)
		return lendersOf(others)
	}
	lenders := lendersOf(ranked)
	for i, entry := range ranked {
		lenders[i].IsStandIn = i > 0
		lenders[i].IsFar = v.isFar(entry)
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
