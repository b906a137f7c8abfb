// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"encoding/json"
	"slices"

	"granitehoist.example/granitehoist"
)

// peerEntry describes a node, in the node list of the store and in greetings.
type peerEntry struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Box         granitehoist.Box         `json:"box"`
	// Zone is encoded as "place" for compatibility with earlier versions.
	Zone granitehoist.AvailabilityZone `json:"place"`
	// Address is where the node takes calls from neighbours, as IP:PORT.
	Address string `json:"address"`
	// LinkMbps is the bandwidth of the box's link in Mbit/s, zero if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// peer returns the address and incarnation of the node, for calls to it.
func (e peerEntry) peer() granitehoist.Peer {
	return granitehoist.Peer{Incarnation: e.Incarnation, Address: e.Address}
}

// A neighbour is known from the first node list or greeting that names its box. It is
// removed only when a node list lacks its box: a list that this node read from the store,
// or a list that a relay read from the store a short while ago (canServeList). A
// neighbour that does not respond stays, since it may be this node that is cut off.
// Entries have no lease: the entry of a dead box stays until a router starts there again.
//
// A greeting contains the sender's own entry and may contain entries of third nodes. The
// sender's own entry replaces the known entry of its box. An entry of a third node is used
// only if its box is not known yet, since it may be older than the known entry.

// entrySource says who sent an entry.
type entrySource int

// The sources of an entry.
const (
	// sourceSelf: the node that the entry describes sent it.
	sourceSelf entrySource = iota
	// sourceThirdParty: a third node passed it on; its age is unknown.
	sourceThirdParty
)

// upsertNeighbour returns others with an entry added or replaced. It returns others
// itself if nothing changes, otherwise a new slice.
func upsertNeighbour(others []peerEntry, self granitehoist.Box, entry peerEntry, from entrySource) []peerEntry {
	if entry.Box == "" || entry.Box == self {
		return others
	}
	index := slices.IndexFunc(others, func(e peerEntry) bool { return e.Box == entry.Box })
	switch {
	case index < 0:
		return append(slices.Clone(others), entry)
	case from == sourceThirdParty || others[index] == entry:
		return others
	}
	changed := slices.Clone(others)
	changed[index] = entry
	return changed
}

// listedByRelay returns the neighbours in a relay's node list. It returns false if the
// relay does not mark its list as fresh, or if the list lacks this node's current entry:
// the relay then read it before the entry was written, and this node has to use the store
// itself.
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

// nodeList is the list of nodes as read from the store.
type nodeList struct {
	others []peerEntry
	// own is the store's entry of this node's box. Its Version is zero if the list has no
	// such entry or the entry cannot be decoded.
	own granitehoist.Entry
	// upToDate says that own is this incarnation's entry and need not be written.
	upToDate bool
	// malformed holds the entries that cannot be decoded; their boxes are ignored.
	malformed []malformedEntry
}

// malformedEntry is an entry of the node list that cannot be decoded.
type malformedEntry struct {
	key string
	err error
}

// parseNodeList decodes the entries under peersPrefix, as seen by the node self.
func parseNodeList(entries []granitehoist.Entry, self peerEntry) nodeList {
	ownKey := peerKey(self.Box)
	l := nodeList{own: granitehoist.Entry{Key: ownKey}}
	for _, e := range entries {
		var entry peerEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			l.malformed = append(l.malformed, malformedEntry{key: e.Key, err: err})
			continue
		}
		if e.Key != ownKey {
			l.others = append(l.others, entry)
			continue
		}
		l.own = e
		l.upToDate = entry == self
	}
	return l
}
