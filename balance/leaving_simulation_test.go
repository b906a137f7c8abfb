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

// In the simulation of TestLeavingStrategies, requests of one service arrive at random
// routers. From leavingReportedAt on, one upstream says in its response headers that it
// is leaving, and at leavingStopsAt it stops with all its requests. Its announcement does
// not change.
const (
	leavingUpstreams    = 12
	leavingRequestRate  = 120.0
	leavingMeanDuration = 600 * time.Millisecond
	leavingHeaderDelay  = 100 * time.Millisecond
	leavingReportedAt   = time.Second
	leavingStopsAt      = 3500 * time.Millisecond
	// leavingPropagationDelay is the time until other routers receive an update.
	leavingPropagationDelay = 60 * time.Millisecond
	// leavingDrainTime is the period over which a gradual strategy withdraws the load.
	leavingDrainTime = time.Second
	leavingStep      = 5 * time.Millisecond
)

// leavingStrategy is a variant of how routers react to a leaving upstream.
type leavingStrategy struct {
	name string
	// broadcast informs all other routers, gradual withdraws the load step by step.
	broadcast, gradual bool
}

// leavingRequest is a request in progress at an upstream.
type leavingRequest struct {
	router            int
	lease             *Lease
	elapsed, duration time.Duration
}

// leavingSim is the state of one simulation.
type leavingSim struct {
	strategy leavingStrategy
	random   *rand.Rand
	now      time.Time
	tables   []*Table
	running  []*leavingRequest
	// learnedAt is when each router learned that the upstream is leaving; zero before.
	learnedAt []time.Time
	// sent counts the requests sent to the upstream since leavingReportedAt, interrupted
	// those in progress when it stopped.
	sent, interrupted int
	// maxLoad is the largest number of requests at any other upstream.
	maxLoad int
}

// simulateLeaving runs the simulation.
func simulateLeaving(strategy leavingStrategy, routers int, seed uint64) *leavingSim {
	s := &leavingSim{strategy: strategy, random: rand.New(rand.NewPCG(seed, 3)), now: testTime, learnedAt: make([]time.Time, routers)}
	for r := range routers {
		t := New(Settings{Seed: seed + uint64(r)})
		for u := range leavingUpstreams {
			t.Announce(Instance{ID: simulatedID(u), Service: "pool", Capacity: 8, Version: 1}, testTime)
		}
		s.tables = append(s.tables, t)
	}
	next := testTime
	for s.now.Sub(testTime) < leavingStopsAt {
		s.now = s.now.Add(leavingStep)
		s.advance()
		for ; next.Before(s.now); next = next.Add(time.Duration(s.random.ExpFloat64() / leavingRequestRate * float64(time.Second))) {
			s.send(s.random.IntN(routers))
		}
	}
	for _, r := range s.running {
		if r.lease.ID == simulatedID(0) {
			s.interrupted++
		}
	}
	return s
}

// send sends a request from a router.
func (s *leavingSim) send(router int) {
	tried := map[granitehoist.Upstream]bool{}
	learnedAt := s.learnedAt[router]
	if fraction := float64(s.now.Sub(learnedAt)) / float64(leavingDrainTime); s.strategy.gradual && !learnedAt.IsZero() && s.random.Float64() < fraction {
		tried[simulatedID(0)] = true
	}
	lease, err := s.tables[router].Pick(Query{Service: "pool", Tried: tried}, s.now)
	if err != nil {
		return
	}
	if lease.ID == simulatedID(0) && s.now.Sub(testTime) >= leavingReportedAt {
		s.sent++
	}
	s.running = append(s.running, &leavingRequest{router: router, lease: lease, duration: time.Duration(s.random.ExpFloat64() * float64(leavingMeanDuration))})
}

// advance runs the requests in progress for one step and updates what the routers know.
func (s *leavingSim) advance() {
	kept := s.running[:0]
	load := map[granitehoist.Upstream]int{}
	for _, r := range s.running {
		r.elapsed += leavingStep
		if r.elapsed >= min(leavingHeaderDelay, r.duration) && r.lease.ID == simulatedID(0) && s.now.Sub(testTime) >= leavingReportedAt {
			s.learn(r.router, s.now)
		}
		if r.elapsed >= r.duration {
			r.lease.Done(Succeeded, s.now)
			continue
		}
		load[r.lease.ID]++
		kept = append(kept, r)
	}
	s.running = kept
	for u, n := range load {
		if u != simulatedID(0) {
			s.maxLoad = max(s.maxLoad, n)
		}
	}
	for router, at := range s.learnedAt {
		ready := !at.IsZero() && !s.now.Before(at) && (!s.strategy.gradual || s.now.Sub(at) >= leavingDrainTime)
		if ready {
			s.tables[router].mergeLeaving([]LeavingRecord{{Upstream: simulatedID(0)}}, s.now)
		}
	}
}

// learn records that a router learns that the upstream is leaving.
func (s *leavingSim) learn(router int, now time.Time) {
	if !s.learnedAt[router].IsZero() && !s.learnedAt[router].After(now) {
		return
	}
	s.learnedAt[router] = now
	for other, at := range s.learnedAt {
		if s.strategy.broadcast && at.IsZero() {
			s.learnedAt[other] = now.Add(leavingPropagationDelay)
		}
	}
}

// TestLeavingStrategies guards against more interrupted requests with broadcast than when
// each router reacts alone or gradually. It logs the loads for comparison.
func TestLeavingStrategies(t *testing.T) {
	const seeds = 20
	strategies := []leavingStrategy{{name: "local"}, {name: "local, gradual", gradual: true}, {name: "broadcast", broadcast: true}, {name: "broadcast, gradual", broadcast: true, gradual: true}}
	for _, routers := range []int{6, 22, 87} {
		interrupted := map[string]int{}
		for _, strategy := range strategies {
			var sent, maxLoad int
			for seed := range uint64(seeds) {
				s := simulateLeaving(strategy, routers, seed)
				sent += s.sent
				interrupted[strategy.name] += s.interrupted
				maxLoad += s.maxLoad
			}
			t.Logf("%d routers, %s: sent %.1f, interrupted %.2f, maximum at another upstream %.1f", routers, strategy.name,
				float64(sent)/seeds, float64(interrupted[strategy.name])/seeds, float64(maxLoad)/seeds)
		}
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			if interrupted["broadcast"] > interrupted["local"] || interrupted["broadcast"] > interrupted["broadcast, gradual"] {
				t.Errorf("interrupted %v", interrupted)
			}
		})
	}
}
