// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// The simulation of TestRestWays: routers with a table each send the requests of one service
// to upstreams that run restCapacity requests at once and let as many wait. An upstream that
// can let none wait turns the request away, and so do the resting ones with every request
// from restBegin to restEnd: both ask for restAsked. A request that is turned away is sent
// elsewhere, restAttempts times at most.
const (
	restUpstreams = 12
	restCapacity  = 8
	restRuns      = 400 * time.Millisecond
	// restHead is how long a run takes to the head of its answer; a refusal comes at once.
	restHead     = 100 * time.Millisecond
	restAttempts = 4
	// restReturn is the part of the time that they were told by which callers return later.
	restReturn = 0.25
	restAsked  = 3 * time.Second
	restBegin  = 4 * time.Second
	restEnd    = 13 * time.Second
	restLasts  = 24 * time.Second
	restStep   = 2 * time.Millisecond
	restNotice = 500 * time.Millisecond
)

// restWay is what a router does beside keeping the rest that it was asked for.
type restWay struct {
	name string
	// atOnce gives an instance all its requests back at the end of its rest.
	atOnce bool
	// told makes the rest that one router was asked for that of all.
	told bool
}

// restRun is a simulated request.
type restRun struct {
	lease *Lease
	// ran is how long it has run, of runs in all.
	ran, runs time.Duration
}

// restSim is one run of the simulation.
type restSim struct {
	way     restWay
	resting int
	random  *rand.Rand
	now     time.Time
	tables  []*Table
	running [restUpstreams][]*restRun
	waiting [restUpstreams][]*restRun
	rests   map[int]map[int][]*askedRest
	// turnedAway are the requests of which the routers learn that next, returning those of
	// callers that were refused.
	turnedAway, returning []*restRequest
	// asked are the states of instances that asked a router for rest.
	asked   []*instanceState
	outcome restOutcome
}

// askedRest is a rest that one upstream asked one router for.
type askedRest struct {
	from, until time.Time
	arrivals    int
}

// restOutcome is what came of a run.
type restOutcome struct {
	// served and refused count requests, turnedAway and again arrivals that were turned
	// away: in all, and at resting upstreams after restEnd.
	served, refused, turnedAway, again int
	// worst is the most arrivals from one router in one rest.
	worst int
	// back is how long after restEnd the resting upstreams together first had four fifths
	// of their share of the runs.
	back time.Duration
}

// simulateRest runs the simulation.
func simulateRest(way restWay, routers, resting int, perSecond float64, seed uint64) restOutcome {
	s := &restSim{way: way, resting: resting, random: rand.New(rand.NewPCG(seed, 1)), now: noon, rests: map[int]map[int][]*askedRest{}}
	for r := range routers {
		t := New(Settings{Seed: seed + uint64(r)})
		for u := range restUpstreams {
			t.Announce(Instance{ID: restID(u), Service: "pool", Capacity: restCapacity, Version: 1}, noon)
		}
		s.tables = append(s.tables, t)
	}
	for s.now.Sub(noon) < restLasts {
		s.now = s.now.Add(restStep)
		s.advance()
		s.again()
		for range s.poisson(perSecond * restStep.Seconds()) {
			s.send(&restRequest{router: s.random.IntN(routers), tried: map[granitehoist.Upstream]bool{}})
		}
		s.noteBack()
	}
	for _, byUpstream := range s.rests {
		for _, asked := range byUpstream {
			for _, a := range asked {
				s.outcome.worst = max(s.outcome.worst, a.arrivals)
			}
		}
	}
	return s.outcome
}

func restID(u int) granitehoist.Upstream { return granitehoist.Upstream(fmt.Sprint(u)) }

// poisson draws the number of requests of one step.
func (s *restSim) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

// restRequest is a request that has not been taken yet.
type restRequest struct {
	router int
	tried  map[granitehoist.Upstream]bool
	// lease is that of the attempt that was turned away last.
	lease *Lease
	// returned says that its caller has been refused once, and dueAt when it comes back.
	returned bool
	dueAt    time.Time
}

// send makes attempts of a request until an upstream takes it, turns it away, which the
// router learns one step later, or no upstream may be chosen. A caller that is refused comes
// back once, at any router, when it was told to.
func (s *restSim) send(r *restRequest) {
	if len(r.tried) >= restAttempts {
		s.outcome.refused++
		return
	}
	lease, err := s.tables[r.router].Pick(Query{Service: "pool", Routers: len(s.tables), Tried: r.tried}, s.now)
	later, deferred := DeferralOf(err)
	switch {
	case err == nil:
		s.arrive(r, lease)
	case deferred && !r.returned && later.Chance > 0:
		wait := later.Chance + time.Duration(s.random.Float64()*restReturn*float64(later.Chance))
		s.returning = append(s.returning, &restRequest{router: s.random.IntN(len(s.tables)), tried: map[granitehoist.Upstream]bool{}, returned: true, dueAt: s.now.Add(wait)})
	default:
		s.outcome.refused++
	}
}

// arrive lets a request reach the upstream of a lease.
func (s *restSim) arrive(r *restRequest, lease *Lease) {
	r.tried[lease.ID] = true
	u, _ := strconv.Atoi(string(lease.ID))
	if s.takes(r.router, u) {
		s.waiting[u] = append(s.waiting[u], &restRun{lease: lease, runs: time.Duration(s.random.ExpFloat64() * float64(restRuns))})
		return
	}
	r.lease = lease
	s.turnedAway = append(s.turnedAway, r)
}

// again sends what was turned away in the step before, and what callers send again now.
func (s *restSim) again() {
	before := s.turnedAway
	s.turnedAway = nil
	for _, r := range before {
		r.lease.Note(Statement{Rest: restAsked}, s.now)
		s.asked = append(s.asked, r.lease.state)
		r.lease.Done(Refused, s.now)
	}
	for _, r := range before {
		s.send(r)
	}
	due := s.returning
	s.returning = nil
	for _, r := range due {
		if s.now.Before(r.dueAt) {
			s.returning = append(s.returning, r)
			continue
		}
		s.send(r)
	}
}

// takes counts a request that arrives at an upstream and reports whether that takes it.
func (s *restSim) takes(router, u int) bool {
	if s.rests[router] == nil {
		s.rests[router] = map[int][]*askedRest{}
	}
	for _, a := range s.rests[router][u] {
		if s.now.After(a.from) && s.now.Before(a.until) {
			a.arrivals++
		}
	}
	since := s.now.Sub(noon)
	if !(u < s.resting && since >= restBegin && since < restEnd) && len(s.waiting[u]) < restCapacity {
		return true
	}
	s.outcome.turnedAway++
	if u < s.resting && since >= restEnd {
		s.outcome.again++
	}
	s.rests[router][u] = append(s.rests[router][u], &askedRest{from: s.now.Add(restNotice), until: s.now.Add(restAsked)})
	if s.way.told {
		for _, t := range s.tables {
			t.instances[restID(u)].rest.Ask(restAsked, s.now)
		}
	}
	return false
}

// advance lets the upstreams run what they have for one step.
func (s *restSim) advance() {
	for u := range restUpstreams {
		kept := s.running[u][:0]
		for _, r := range s.running[u] {
			r.ran += restStep
			if r.ran >= restHead {
				r.lease.Note(Statement{Taken: true}, s.now)
			}
			if r.ran < r.runs {
				kept = append(kept, r)
				continue
			}
			r.lease.Done(Good, s.now)
			s.outcome.served++
		}
		s.running[u] = kept
		for len(s.running[u]) < restCapacity && len(s.waiting[u]) > 0 {
			s.running[u] = append(s.running[u], s.waiting[u][0])
			s.waiting[u] = s.waiting[u][1:]
		}
	}
	if !s.way.atOnce {
		return
	}
	asked := s.asked[:0]
	for _, i := range s.asked {
		if i.rest.Left(s.now) > 0 {
			asked = append(asked, i)
			continue
		}
		// It counts as having room for all.
		i.rest.Took(s.now, 0)
	}
	s.asked = asked
}

// noteBack notes when the resting upstreams have four fifths of their share.
func (s *restSim) noteBack() {
	since := s.now.Sub(noon) - restEnd
	if since < 0 || s.outcome.back > 0 {
		return
	}
	all, theirs := 0, 0
	for u := range restUpstreams {
		n := len(s.running[u])
		all += n
		if u < s.resting {
			theirs += n
		}
	}
	if float64(theirs) >= 0.8*float64(all)*float64(s.resting)/restUpstreams {
		s.outcome.back = since
	}
}

// TestRestWays compares what routers may do beside keeping a rest: how a rested upstream
// gets its requests back, and whether one router's rest is that of all. go test -v -run
// TestRestWays prints the table of docs/design/statements.md. In every way nobody sends
// anything in a rest.
func TestRestWays(t *testing.T) {
	const seeds = 2
	ways := []restWay{{name: "one first, then twice as many"}, {name: "all at once", atOnce: true}, {name: "one first, told to all", told: true}}
	for _, load := range []struct {
		name      string
		resting   int
		perSecond float64
	}{{"one rests at nine tenths of the capacity", 1, 216}, {"four rest at half of it", 4, 120}, {"all rest at half of it", restUpstreams, 120}} {
		for _, routers := range []int{6, 22, 87} {
			for _, way := range ways {
				t.Run(fmt.Sprintf("%s, %d routers, %s", load.name, routers, way.name), func(t *testing.T) {
					var sum restOutcome
					for seed := range uint64(seeds) {
						o := simulateRest(way, routers, load.resting, load.perSecond, seed)
						sum.served += o.served
						sum.refused += o.refused
						sum.turnedAway += o.turnedAway
						sum.again += o.again
						sum.worst = max(sum.worst, o.worst)
						sum.back += o.back
					}
					t.Logf("in a rest %d, turned away %d, again %d, refused %d of %d, back after %.2f s",
						sum.worst, sum.turnedAway/seeds, sum.again/seeds, sum.refused/seeds, (sum.served+sum.refused)/seeds, sum.back.Seconds()/seeds)
					if sum.worst > 0 && !way.told {
						t.Errorf("%d requests of a router in a rest", sum.worst)
					}
				})
			}
		}
	}
}
