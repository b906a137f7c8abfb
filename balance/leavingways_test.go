// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// The simulation of TestLeavingWays: the requests of one service reach random routers. One of
// its upstreams says in the heads of its answers that it leaves, from leavingSaid on, and
// ends at leavingEnds with whatever it runs; no entry says so.
const (
	leavingUpstreams = 12
	leavingPerSecond = 120.0
	leavingRuns      = 600 * time.Millisecond
	leavingHead      = 100 * time.Millisecond
	leavingSaid      = time.Second
	leavingEnds      = 3500 * time.Millisecond
	// leavingToldAfter is how long news takes to the other routers.
	leavingToldAfter = 60 * time.Millisecond
	// leavingHandover is the time over which a gradual way takes its requests away.
	leavingHandover = time.Second
	leavingStep     = 5 * time.Millisecond
)

// leavingWay is what a router does that hears that an upstream leaves.
type leavingWay struct {
	name string
	// told tells all others, gradual takes the requests away bit by bit.
	told, gradual bool
}

// leavingRun is a request in progress at some upstream.
type leavingRun struct {
	router   int
	lease    *Lease
	ran, all time.Duration
}

// leavingSim is one run of the simulation.
type leavingSim struct {
	way     leavingWay
	random  *rand.Rand
	now     time.Time
	tables  []*Table
	running []*leavingRun
	// heardAt is when each router heard, zero before.
	heardAt []time.Time
	// sent counts the requests that the upstream got since it said so, cut those that ran
	// when it ended.
	sent, cut int
	// most is the most requests at any other upstream.
	most int
}

// simulateLeaving runs the simulation.
func simulateLeaving(way leavingWay, routers int, seed uint64) *leavingSim {
	s := &leavingSim{way: way, random: rand.New(rand.NewPCG(seed, 3)), now: noon, heardAt: make([]time.Time, routers)}
	for r := range routers {
		t := New(Settings{Seed: seed + uint64(r)})
		for u := range leavingUpstreams {
			t.Announce(Instance{ID: restID(u), Service: "pool", Capacity: 8, Version: 1}, noon)
		}
		s.tables = append(s.tables, t)
	}
	next := noon
	for s.now.Sub(noon) < leavingEnds {
		s.now = s.now.Add(leavingStep)
		s.advance()
		for ; next.Before(s.now); next = next.Add(time.Duration(s.random.ExpFloat64() / leavingPerSecond * float64(time.Second))) {
			s.send(s.random.IntN(routers))
		}
	}
	for _, r := range s.running {
		if r.lease.ID == restID(0) {
			s.cut++
		}
	}
	return s
}

// send sends a request of a router.
func (s *leavingSim) send(router int) {
	tried := map[granitehoist.Upstream]bool{}
	heard := s.heardAt[router]
	if part := float64(s.now.Sub(heard)) / float64(leavingHandover); s.way.gradual && !heard.IsZero() && s.random.Float64() < part {
		tried[restID(0)] = true
	}
	lease, err := s.tables[router].Pick(Query{Service: "pool", Tried: tried}, s.now)
	if err != nil {
		return
	}
	if lease.ID == restID(0) && s.now.Sub(noon) >= leavingSaid {
		s.sent++
	}
	s.running = append(s.running, &leavingRun{router: router, lease: lease, all: time.Duration(s.random.ExpFloat64() * float64(leavingRuns))})
}

// advance runs what is in progress for one step, and lets routers hear.
func (s *leavingSim) advance() {
	kept := s.running[:0]
	load := map[granitehoist.Upstream]int{}
	for _, r := range s.running {
		r.ran += leavingStep
		if r.ran >= min(leavingHead, r.all) && r.lease.ID == restID(0) && s.now.Sub(noon) >= leavingSaid {
			s.hear(r.router, s.now)
		}
		if r.ran >= r.all {
			r.lease.Done(Good, s.now)
			continue
		}
		load[r.lease.ID]++
		kept = append(kept, r)
	}
	s.running = kept
	for u, n := range load {
		if u != restID(0) {
			s.most = max(s.most, n)
		}
	}
	for router, at := range s.heardAt {
		ready := !at.IsZero() && !s.now.Before(at) && (!s.way.gradual || s.now.Sub(at) >= leavingHandover)
		if ready {
			s.tables[router].mergeLeaving([]LeavingRecord{{Upstream: restID(0)}}, s.now)
		}
	}
}

// hear lets a router hear that the upstream leaves.
func (s *leavingSim) hear(router int, now time.Time) {
	if !s.heardAt[router].IsZero() && !s.heardAt[router].After(now) {
		return
	}
	s.heardAt[router] = now
	for other, at := range s.heardAt {
		if s.way.told && at.IsZero() {
			s.heardAt[other] = now.Add(leavingToldAfter)
		}
	}
}

// TestLeavingWays compares what a router may do that hears that an upstream leaves: keep it
// to itself or tell the others, and stop at once or bit by bit. go test -v -run
// TestLeavingWays prints the table of docs/design/statements.md. What is told at once costs
// the fewest requests when the upstream ends.
func TestLeavingWays(t *testing.T) {
	const seeds = 20
	ways := []leavingWay{{name: "alone"}, {name: "alone, bit by bit", gradual: true}, {name: "told", told: true}, {name: "told, bit by bit", told: true, gradual: true}}
	for _, routers := range []int{6, 22, 87} {
		cut := map[string]int{}
		for _, way := range ways {
			var sent, most int
			for seed := range uint64(seeds) {
				s := simulateLeaving(way, routers, seed)
				sent += s.sent
				cut[way.name] += s.cut
				most += s.most
			}
			t.Logf("%d routers, %s: sent %.1f, cut %.2f, most at another %.1f", routers, way.name,
				float64(sent)/seeds, float64(cut[way.name])/seeds, float64(most)/seeds)
		}
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			if cut["told"] > cut["alone"] || cut["told"] > cut["told, bit by bit"] {
				t.Errorf("cut %v", cut)
			}
		})
	}
}
