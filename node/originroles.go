// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist/origin"
)

// The nodes of a region share the work of the archived records of streams. Some of them, the
// writers, write the records of all to the store. The records are divided into slots, so that
// a node which looks for one reads a part of them only; in a region of up to
// nodesPerOriginSlot nodes there is one slot and every node reads it itself.
const (
	// nodesPerOriginWriter and nodesPerOriginSlot are the numbers of nodes of a region for
	// each writer and each slot. The bytes that a writer sends and a reader keeps grow with
	// them.
	nodesPerOriginWriter, nodesPerOriginSlot = 8, 24
	// maxOriginSlots bounds the slots of a region, each of which is a key in every write.
	maxOriginSlots = 32
	// originReaders is the number of nodes that read a slot for the others.
	originReaders = 2
	// originWriterTries is the number of writers to which a node offers its records before
	// it writes them itself.
	originWriterTries = 2
)

// nearSize returns the number of nodes in this node's region, itself included.
func (v fleetView) nearSize() int { return len(v.near()) + 1 }

// originSlots returns the number of slots of the region's archived records, a power of two.
func (v fleetView) originSlots() int {
	slots := (v.nearSize() + nodesPerOriginSlot - 1) / nodesPerOriginSlot
	return min(maxOriginSlots, 1<<bits.Len(uint(slots-1)))
}

// originPace says how often the nodes of a region write records. The streams that begin within
// delay and interval before all nodes are killed are lost; a node makes a call in each delay,
// and a writer one to the store in each interval.
type originPace struct {
	// delay is how long a node collects records before it hands them over, interval the time
	// between two writes of a writer.
	delay, interval time.Duration
}

// originPace returns the pace of this node's region.
func (v fleetView) originPace() originPace {
	switch n := v.nearSize(); {
	case n <= nodesPerOriginWriter:
		return originPace{delay: 120 * time.Millisecond, interval: 90 * time.Millisecond}
	case n <= nodesPerOriginSlot:
		return originPace{delay: 150 * time.Millisecond, interval: 120 * time.Millisecond}
	case n <= 4*nodesPerOriginSlot:
		return originPace{delay: 150 * time.Millisecond, interval: 300 * time.Millisecond}
	}
	return originPace{delay: 190 * time.Millisecond, interval: 750 * time.Millisecond}
}

// originWriters returns the nodes to which this node offers its records, in order. It may be
// one of them.
func (v fleetView) originWriters() []peerEntry {
	all := append([]peerEntry{v.self}, v.near()...)
	slices.SortFunc(all, compareBoxHash)
	count := (len(all) + nodesPerOriginWriter - 1) / nodesPerOriginWriter
	ranked := append(rankByHash(boxHash(v.self.Box), all[:count]), all[count:]...)
	return ranked[:min(len(ranked), originWriterTries)]
}

// originReadersOf returns the nodes of the region that read a slot, of several, for the others.
func (v fleetView) originReadersOf(slot origin.Slot) []peerEntry {
	all := append([]peerEntry{v.self}, v.near()...)
	ranked := rankByHash(xxhash.Sum64String("slot")+uint64(slot), all)
	return ranked[:min(len(ranked), originReaders)]
}

// rankByHash returns nodes in the order of rendezvous hashing for a hash.
func rankByHash(hash uint64, nodes []peerEntry) []peerEntry {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b peerEntry) int {
		return cmp.Compare(mixHashes(hash, boxHash(b.Box)), mixHashes(hash, boxHash(a.Box)))
	})
	return ranked
}
