// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/origin"
)

// viewOf returns the view of node number self of a fleet.
func viewOf(nodes, self int) fleetView {
	var v fleetView
	for i := range nodes {
		entry := peerEntry{Box: granitehoist.Box(fmt.Sprint("box-", i)), Zone: "z"}
		if i == self {
			v.self = entry
		} else {
			v.others = append(v.others, entry)
		}
	}
	return v
}

func streamNumber(n int) origin.Stream {
	return origin.Stream{Workspace: "w", Request: granitehoist.RequestID(fmt.Sprint("q-", n))}
}

// TestHoldersAgree guards against a node that asks others for a record than those that its
// node has sent the record to, and against holders that get most of the records.
func TestHoldersAgree(t *testing.T) {
	const nodes, streams = 40, 2000
	held := map[granitehoist.Box]int{}
	for n := range streams {
		s := streamNumber(n)
		view := viewOf(nodes, n%nodes)
		holders := view.holders(s, view.originReplicas())
		asked := map[granitehoist.Box]bool{}
		other := viewOf(nodes, (n+1)%nodes)
		for _, entry := range other.holders(s, holdersAsked) {
			asked[entry.Box] = true
		}
		for _, entry := range holders {
			held[entry.Box]++
			if !asked[entry.Box] && entry.Box != other.self.Box {
				t.Fatalf("%s holds the record of %v and is not asked", entry.Box, s)
			}
		}
		if len(holders) != originReplicasLarge || holders[0] == holders[1] {
			t.Fatalf("holders %v", holders)
		}
	}
	mean := streams * originReplicasLarge / nodes
	for box, count := range held {
		if count > 2*mean || count < mean/2 {
			t.Errorf("%s holds %d records, the mean is %d", box, count, mean)
		}
	}
}

// BenchmarkHolders measures the choice of the holders of a stream in a fleet of 1,100 nodes.
func BenchmarkHolders(b *testing.B) {
	view := viewOf(1100, 0)
	for n := 0; b.Loop(); n++ {
		view.holders(streamNumber(n), holdersAsked)
	}
}
