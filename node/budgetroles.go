// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// This file decides which nodes hold a workspace's prepaid tokens, and which ones a
// node asks for them. In a small fleet every node takes tokens from the record for
// itself. In a large one each workspace has escrow.HoldersPerWorkspace holders, which
// see its whole demand and lend to all others. They are chosen by rendezvous
// hashing, so that all nodes that know the same boxes choose the same ones without
// a message, and the loss of a box moves only what it held. A wrong answer here
// costs calls and time, never tokens.

const (
	// rankedPerWorkspace is the number of nodes that are ranked for a workspace:
	// the holders, and as many that stand in for them. Chosen, not measured.
	rankedPerWorkspace = 2 * escrow.HoldersPerWorkspace
	// holderLinkPart is the part of the fastest link in the fleet that a holder's
	// link has at least. Chosen, not measured: links on the users' sites differ by
	// a factor of ten or twenty, and a holder answers for the whole fleet.
	holderLinkPart = 0.5
)

// role returns this node's role for a workspace's tokens. A node whose view is not
// complete yet asks others, since in a fleet that is still filling every node would
// be a holder.
func (v fleetView) role(ranked []peerEntry) escrow.Role {
	switch {
	case !v.complete:
		return escrow.Asks
	case v.isSmall():
		return escrow.Shares
	}
	for _, holder := range ranked[:min(len(ranked), escrow.HoldersPerWorkspace)] {
		if holder.Box == v.self.Box {
			return escrow.Holds
		}
	}
	return escrow.Asks
}

// ranked returns the nodes that hold a workspace's tokens and then those that stand
// in for them. Nodes with links below holderLinkPart of the fastest are left out.
// The second holder is in another availability zone than the first if there is
// one, so that one holder goes on when a zone is lost.
func (v fleetView) ranked(w granitehoist.Workspace) []peerEntry {
	seed := xxhash.Sum64String(string(w))
	var first, elsewhere []scoredPeer
	for _, candidate := range v.holderCandidates() {
		first = withScored(first, scoredPeer{entry: candidate, score: mix(seed ^ rankOf(candidate.Box))})
	}
	for _, candidate := range v.holderCandidates() {
		if candidate.Zone != first[0].entry.Zone {
			elsewhere = withScored(elsewhere, scoredPeer{entry: candidate, score: mix(seed ^ rankOf(candidate.Box))})
		}
	}
	ranked := []peerEntry{first[0].entry}
	for _, next := range append(elsewhere[:min(1, len(elsewhere))], first[1:]...) {
		if len(ranked) < rankedPerWorkspace && !slices.Contains(ranked, next.entry) {
			ranked = append(ranked, next.entry)
		}
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

// scoredPeer is a node with its score for a workspace.
type scoredPeer struct {
	entry peerEntry
	score uint64
}

// withScored adds a node to those with the lowest scores, of which it keeps
// rankedPerWorkspace.
func withScored(best []scoredPeer, next scoredPeer) []scoredPeer {
	at, _ := slices.BinarySearchFunc(best, next, func(a, b scoredPeer) int {
		if a.score < b.score {
			return -1
		}
		return 1
	})
	best = slices.Insert(best, at, next)
	return best[:min(len(best), rankedPerWorkspace)]
}

// mix spreads the bits of a hash (the finalizer of splitmix64), so that scores of one
// box for different workspaces are independent.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// lenders returns the neighbours in the order in which this node asks them for a loan
// of a workspace's tokens. In a small fleet these are all of them by rank. In a large
// one they are the holders and those that stand in for them: the holder of this
// node's own availability zone first; if there is none, half of the nodes begin with
// each holder.
func (v fleetView) lenders(ranked []peerEntry) []escrow.Lender {
	if v.isSmall() {
		others := slices.Clone(v.others)
		slices.SortFunc(others, compareRank)
		return lendersOf(others)
	}
	holders := slices.Clone(ranked[:min(len(ranked), escrow.HoldersPerWorkspace)])
	if len(holders) > 1 && v.prefersLast(holders) {
		slices.Reverse(holders)
	}
	lenders := lendersOf(v.withoutSelf(holders))
	for _, standIn := range v.withoutSelf(ranked[len(holders):]) {
		lenders = append(lenders, escrow.Lender{Peer: standIn.peer(), StandsIn: true})
	}
	return lenders
}

// prefersLast decides whether this node begins with the last of the holders.
func (v fleetView) prefersLast(holders []peerEntry) bool {
	last := holders[len(holders)-1]
	near, far := last.Zone == v.self.Zone, holders[0].Zone == v.self.Zone
	if near != far {
		return near
	}
	return mix(rankOf(v.self.Box)^rankOf(last.Box))%2 == 0
}

func (v fleetView) withoutSelf(entries []peerEntry) []peerEntry {
	return slices.DeleteFunc(slices.Clone(entries), func(e peerEntry) bool { return e.Box == v.self.Box })
}

func lendersOf(entries []peerEntry) []escrow.Lender {
	lenders := make([]escrow.Lender, 0, len(entries))
	for _, entry := range entries {
		lenders = append(lenders, escrow.Lender{Peer: entry.peer()})
	}
	return lenders
}
