// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
)

// TestDetourSample guards against detours through another region while the own region has
// neighbours, and against a search that always asks the same ones.
func TestDetourSample(t *testing.T) {
	p := newPeers(peersSettings{
		self:    peerEntry{Box: "self", Zone: "a"},
		regions: map[granitehoist.AvailabilityZone]granitehoist.Region{"a": "near", "b": "near", "c": "far"},
	})
	var others []peerEntry
	for i := range 20 {
		for _, zone := range []granitehoist.AvailabilityZone{"a", "b", "c"} {
			others = append(others, peerEntry{Box: granitehoist.Box(fmt.Sprint(zone, i)), Zone: zone})
		}
	}
	p.setOthers(others)
	seen := map[granitehoist.Box]bool{}
	for range 50 {
		near := p.sampleNeighbours(maxReachAsked, false)
		if len(near) != maxReachAsked {
			t.Fatalf("%d neighbours, want %d", len(near), maxReachAsked)
		}
		for _, other := range near {
			if other.Zone == "c" {
				t.Fatalf("%s is in another region", other.Box)
			}
			seen[other.Box] = true
		}
	}
	if len(seen) < 30 {
		t.Errorf("50 searches asked %d of 40 neighbours", len(seen))
	}
	for _, other := range p.sampleNeighbours(100, true) {
		if other.Zone != "c" {
			t.Errorf("%s is in this region", other.Box)
		}
	}
}

// TestDetourRoutes guards against a neighbour that is asked for tunnels long after it
// offered them, or twice as often as the others.
func TestDetourRoutes(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &detours{log: zap.NewNop()}
	for _, box := range []granitehoist.Box{"a", "b", "a"} {
		d.add(detourRoute{box: box, address: string(box), until: now.Add(routeLifetime)})
	}
	if len(d.routes) != 2 {
		t.Fatalf("%d routes of 2 neighbours", len(d.routes))
	}
	route, found := d.knownRoute(now)
	if !found {
		t.Fatal("no route")
	}
	d.remove(route, nil)
	if left, found := d.knownRoute(now); !found || left.box == route.box {
		t.Errorf("route %+v after %s failed", left, route.box)
	}
	if _, found := d.knownRoute(now.Add(routeLifetime)); found {
		t.Error("a route outlives its lifetime")
	}
	d.othersMayReach = true
	if !d.onlyOthersReach(now.Add(routeLifetime)) {
		t.Error("a node without routes does not know that others may reach the upstreams")
	}
}
