// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"encoding/json"
	"slices"

	"granitehoist.example/granitehoist"
)

// peerEntry is what a node writes of itself, under its box's key in the store
// and in greetings.
type peerEntry struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Box         granitehoist.Box         `json:"box"`
	// Zone is stored as "place", the name that earlier versions wrote.
	Zone granitehoist.AvailabilityZone `json:"place"`
	// Address is where the node takes calls of its neighbours, as IP:PORT.
	Address string `json:"address"`
	// LinkMbps is the rate of the box's link in Mbit/s, zero if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// peer returns the entry as the receiver of calls.
func (e peerEntry) peer() granitehoist.Peer {
	return granitehoist.Peer{Incarnation: e.Incarnation, Address: e.Address}
}

// This file decides which neighbours a node counts, and by which entry.
//
// A neighbour counts from the first list or greeting that names its box. It
// counts as removed only when a list lacks its box: a list that this node read
// from the store, or one that a relay read from the store a short while ago
// (vouchesForList). A neighbour that does not answer stays, since it may be this
// node that is cut off; calls to it end with their timeout. An entry has no
// lease: a box that dies stays listed until a router starts there again and
// writes its own entry.
//
// An entry that a box sent of itself replaces the one that this node has of it.
// An entry that a third node passed on only adds a box that is missing: it may be
// older than the one that this node has.

// source says who sent an entry.
type source int

// The sources of an entry.
const (
	// fromItself: the node that the entry describes sent it.
	fromItself source = iota
	// fromOther: a third node passed it on; its age is unknown.
	fromOther
)

// withNeighbour returns others with an entry added or replaced. It returns others
// itself if nothing changes, else a new slice.
func withNeighbour(others []peerEntry, self granitehoist.Box, entry peerEntry, from source) []peerEntry {
	if entry.Box == "" || entry.Box == self {
		return others
	}
	index := slices.IndexFunc(others, func(e peerEntry) bool { return e.Box == entry.Box })
	switch {
	case index < 0:
		return append(slices.Clone(others), entry)
	case from == fromOther || others[index] == entry:
		return others
	}
	changed := slices.Clone(others)
	changed[index] = entry
	return changed
}

// listedByRelay returns the neighbours by the list that a relay sent. It
// returns false if the relay did not vouch for its list, or if the list lacks
// this node as it is now: the relay then read it before this node wrote its
// entry, and this node has to read and write the store itself.
func listedByRelay(reply greeting, self peerEntry) ([]peerEntry, bool) {
	if !reply.Listed || !slices.Contains(reply.Others, self) {
		return nil, false
	}
	others := []peerEntry{reply.Self}
	for _, other := range reply.Others {
		if other.Box != self.Box {
			others = append(others, other)
		}
	}
	return others, true
}

// listing is the list of nodes as read from the store.
type listing struct {
	others []peerEntry
	// own is the entry of this node's box; its Version is zero if there is none.
	own granitehoist.Entry
	// current says that own is by this incarnation, so that nothing has to be
	// written.
	current bool
	// unreadable holds the entries that do not decode. Their boxes are not
	// counted as neighbours.
	unreadable []unreadableEntry
}

// unreadableEntry is an entry of the list that does not decode.
type unreadableEntry struct {
	key string
	err error
}

// newListing reads the entries under peersPrefix for the node self.
func newListing(entries []granitehoist.Entry, self peerEntry) listing {
	ownKey := peerKey(self.Box)
	l := listing{own: granitehoist.Entry{Key: ownKey}}
	for _, e := range entries {
		var entry peerEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			l.unreadable = append(l.unreadable, unreadableEntry{key: e.Key, err: err})
			continue
		}
		if e.Key != ownKey {
			l.others = append(l.others, entry)
			continue
		}
		l.own = e
		l.current = entry == self
	}
	return l
}
