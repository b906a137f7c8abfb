// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"granitehoist.example/granitehoist/suspect"
)

// This file plays a fleet in simulated time, to compare ways of treating a request that
// ends each upstream that begins to run it: how many end, and how many other requests
// are refused for it. What is simulated is the part that the ways differ in: which
// router knows what when it sends a request, and what else runs where.

// way is a way of treating suspect requests.
type way struct {
	name string
	// refuse decides by a verdict whether a request is refused.
	refuse func(suspect.Verdict) bool
	// apart says that all routers choose the same upstream for a suspect.
	apart bool
	// single says that a router runs one of the same suspects at a time.
	single bool
	// hold says that a suspect is held until what made upstreams crash is over.
	hold bool
}

var chosenWay = way{name: "three early rounds, apart, held between", refuse: func(v suspect.Verdict) bool { return v.Refused }, apart: true, hold: true}

// ways are the ways that were weighed.
var ways = []way{
	{name: "nothing", refuse: func(suspect.Verdict) bool { return false }},
	{name: "three early rounds", refuse: func(v suspect.Verdict) bool { return v.Refused }},
	chosenWay,
	{name: "three early rounds, apart", refuse: func(v suspect.Verdict) bool { return v.Refused }, apart: true},
	{name: "three early rounds, apart, one at a time", refuse: func(v suspect.Verdict) bool { return v.Refused }, apart: true, single: true},
	{name: "two early rounds, apart", refuse: func(v suspect.Verdict) bool { return v.Early >= 2 }, apart: true},
	{name: "three rounds of any kind, apart", refuse: func(v suspect.Verdict) bool { return v.Round >= 3 }, apart: true},
	{name: "three ends, apart", refuse: func(v suspect.Verdict) bool { return v.Crashes >= 3 }, apart: true},
}

// scene is what is played.
type scene struct {
	routers, upstreams int
	// repeaters is how many callers send the deadly request, each again after its
	// answer.
	repeaters int
	// popular adds an innocent request that the same caller sends everywhere.
	popular bool
	// rackAt is when a third of the upstreams loses power; zero for never.
	rackAt time.Duration
}

const (
	sceneLasts = 30 * time.Second
	// innocentEach is the time from one innocent request to the next, for each upstream,
	// and innocentRun how long one runs: some five run at an upstream.
	innocentEach = 300 * time.Millisecond
	innocentRun  = 1500 * time.Millisecond
	// firstEventAfter is the time from the start of a run to its first event.
	firstEventAfter = 150 * time.Millisecond
	// crashAfter is the time from the start of the deadly run to the end of its
	// upstream, downFor that until the upstream is back.
	crashAfter = 90 * time.Millisecond
	downFor    = 5 * time.Second
	// popularEach is the time from one popular request to the next.
	popularEach = 50 * time.Millisecond
)

// result is what a play showed.
type result struct {
	ends, refusedInnocents, brokenRuns int
	// spread is the time from the third end to when the last router refused.
	spread time.Duration
}

// caller is a request with its repeats.
type caller struct {
	digest          suspect.Digest
	deadly, popular bool
	returns         int
}

// run is a request at an upstream.
type run struct {
	caller *caller
	router int
	known  suspect.Verdict
	began  time.Duration
	ended  bool
}

type upstreamState struct {
	id, life int
	down     bool
	runs     map[*run]bool
}

// fleetPlay is a play in progress. Simulated time begins at start.
type fleetPlay struct {
	scene     scene
	way       way
	random    *rand.Rand
	now       time.Duration
	events    eventHeap
	tables    []*suspect.Table
	told      []uint64
	running   []map[suspect.Digest]int
	upstreams []*upstreamState
	callers   int
	deadly    suspect.Digest
	third     time.Duration
	result    result
}

type timedEvent struct {
	at time.Duration
	do func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// playFleet plays a scene by a way.
func playFleet(s scene, w way, seed uint64) result {
	p := &fleetPlay{scene: s, way: w, random: rand.New(rand.NewPCG(seed, 1)), deadly: numbered(0)}
	for range s.routers {
		p.tables = append(p.tables, suspect.New(suspect.Settings{}))
		p.told = append(p.told, 0)
		p.running = append(p.running, map[suspect.Digest]int{})
	}
	for id := range s.upstreams {
		p.upstreams = append(p.upstreams, &upstreamState{id: id, life: id, runs: map[*run]bool{}})
	}
	for range s.repeaters {
		p.after(p.between(0, time.Second), func() { p.arrive(&caller{digest: p.deadly, deadly: true, returns: 1 << 20}) })
	}
	p.after(0, p.sendInnocent)
	if s.popular {
		p.after(0, p.sendPopular)
	}
	if s.rackAt > 0 {
		p.after(s.rackAt, p.loseRack)
	}
	for len(p.events) > 0 && p.now < sceneLasts {
		next, _ := heap.Pop(&p.events).(timedEvent)
		p.now = next.at
		next.do()
	}
	return p.result
}

func (p *fleetPlay) after(d time.Duration, do func()) {
	heap.Push(&p.events, timedEvent{p.now + d, do})
}

func (p *fleetPlay) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

func (p *fleetPlay) time() time.Time { return start.Add(p.now) }

func (p *fleetPlay) sendInnocent() {
	p.callers++
	p.arrive(&caller{digest: numbered(p.callers + 10), returns: 1})
	p.after(p.between(0, 2*innocentEach/time.Duration(p.scene.upstreams)), p.sendInnocent)
}

func (p *fleetPlay) sendPopular() {
	p.arrive(&caller{digest: numbered(1), popular: true, returns: 1})
	p.after(popularEach, p.sendPopular)
}

// arrive lets a request arrive at a random router.
func (p *fleetPlay) arrive(c *caller) {
	p.send(c, p.random.IntN(len(p.tables)), nil)
}

// send sends a request from a router, but not to an upstream that it has tried.
func (p *fleetPlay) send(c *caller, router int, tried *upstreamState) {
	verdict := p.tables[router].Lookup(c.digest, p.time())
	if p.way.refuse(verdict) {
		p.refused(c)
		return
	}
	if p.way.hold && verdict.Hold > 0 {
		p.after(verdict.Hold, func() { p.send(c, router, tried) })
		return
	}
	if p.way.single && verdict.Round > 0 && p.running[router][c.digest] > 0 {
		p.after(p.between(50*time.Millisecond, 100*time.Millisecond), func() { p.send(c, router, tried) })
		return
	}
	u := p.pick(c.digest, verdict, tried)
	if u == nil {
		return
	}
	r := &run{caller: c, router: router, known: verdict, began: p.now}
	u.runs[r] = true
	p.running[router][c.digest]++
	if c.deadly {
		p.after(crashAfter, func() { p.crash(u, r) })
		return
	}
	p.after(p.between(innocentRun/2, 3*innocentRun/2), func() { p.complete(u, r) })
}

func (p *fleetPlay) refused(c *caller) {
	if !c.deadly {
		p.result.refusedInnocents++
		return
	}
	p.noteSpread()
	p.after(p.between(500*time.Millisecond, 2*time.Second), func() { p.arrive(c) })
}

// noteSpread notes when the last router refused the deadly request.
func (p *fleetPlay) noteSpread() {
	if p.result.spread > 0 || p.third == 0 {
		return
	}
	for _, table := range p.tables {
		if !p.way.refuse(table.Lookup(p.deadly, p.time())) {
			return
		}
	}
	p.result.spread = max(1, p.now-p.third)
}

// pick chooses an upstream that is not down.
func (p *fleetPlay) pick(d suspect.Digest, v suspect.Verdict, tried *upstreamState) *upstreamState {
	var up []*upstreamState
	for _, u := range p.upstreams {
		if !u.down && u != tried {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if !p.way.apart || v.Round == 0 {
		return up[p.random.IntN(len(up))]
	}
	weight := func(u *upstreamState) uint64 {
		return rand.New(rand.NewPCG(d.Hash(), uint64(u.life))).Uint64()
	}
	return slices.MaxFunc(up, func(a, b *upstreamState) int {
		if weight(a) < weight(b) {
			return -1
		}
		return 1
	})
}

func (p *fleetPlay) complete(u *upstreamState, r *run) {
	if r.ended {
		return
	}
	r.ended = true
	delete(u.runs, r)
	p.running[r.router][r.caller.digest]--
	p.tables[r.router].NoteSuccess(r.caller.digest, p.time())
	p.tell(r.router)
}

// crash ends the upstream of a deadly run.
func (p *fleetPlay) crash(u *upstreamState, r *run) {
	if r.ended {
		return
	}
	p.result.ends++
	p.end(u)
	if p.result.ends == 3 {
		p.third = p.now
	}
}

// end ends an upstream with all that runs there.
func (p *fleetPlay) end(u *upstreamState) {
	life := suspect.Life(fmt.Sprint(u.life))
	ended := u.runs
	u.down, u.runs = true, map[*run]bool{}
	p.after(downFor, func() {
		u.down = false
		u.life += len(p.upstreams)
	})
	for r := range ended {
		r.ended = true
		p.running[r.router][r.caller.digest]--
		observed := suspect.Observation{Life: life, Known: r.known, Early: p.now-r.began < firstEventAfter}
		p.tables[r.router].NoteCrash(r.caller.digest, observed, p.time())
		if !r.caller.deadly {
			p.result.brokenRuns++
		}
		p.again(r, u)
	}
	for router := range p.tables {
		p.tell(router)
	}
}

// again sends what an upstream's end broke off: half of it goes on from the same router,
// the other callers come back.
func (p *fleetPlay) again(r *run, tried *upstreamState) {
	if r.caller.returns == 0 {
		return
	}
	r.caller.returns--
	if !r.caller.deadly && p.random.IntN(2) == 0 {
		p.after(time.Millisecond, func() { p.send(r.caller, r.router, tried) })
		return
	}
	p.after(p.between(300*time.Millisecond, 1200*time.Millisecond), func() { p.arrive(r.caller) })
}

// tell tells the other routers what one observed.
func (p *fleetPlay) tell(router int) {
	records, version := p.tables[router].ObservedAfter(p.told[router])
	p.told[router] = version
	if len(records) == 0 {
		return
	}
	for other := range p.tables {
		if other == router {
			continue
		}
		p.after(p.between(2*time.Millisecond, 60*time.Millisecond), func() {
			p.tables[other].Merge(records, p.time())
			p.noteSpread()
		})
	}
}

// loseRack ends a third of the upstreams at one moment.
func (p *fleetPlay) loseRack() {
	for _, u := range p.upstreams[:len(p.upstreams)/3] {
		if !u.down {
			p.end(u)
		}
	}
}

// playSeeds plays a scene with several seeds.
func playSeeds(s scene, w way, seeds uint64) []result {
	var all []result
	for seed := range seeds {
		all = append(all, playFleet(s, w, seed+1))
	}
	return all
}

// median and most return those of a figure of all plays.
func median(all []result, figure func(result) int) int { return sortedFigures(all, figure)[len(all)/2] }

func most(all []result, figure func(result) int) int { return sortedFigures(all, figure)[len(all)-1] }

func sortedFigures(all []result, figure func(result) int) []int {
	var figures []int
	for _, r := range all {
		figures = append(figures, figure(r))
	}
	slices.Sort(figures)
	return figures
}

func ends(r result) int             { return r.ends }
func refusedInnocents(r result) int { return r.refusedInnocents }
func brokenRuns(r result) int       { return r.brokenRuns }
func spreadMS(r result) int         { return int(r.spread.Milliseconds()) }

// TestFewUpstreamsEnd holds what the chosen way promises, in fleets of three sizes: a
// request that comes again one after the other ends four upstreams at most, nobody else
// is refused for it, and all routers refuse it a tenth of a second after the third end.
func TestFewUpstreamsEnd(t *testing.T) {
	const seeds = 20
	for _, s := range []scene{
		{routers: 6, upstreams: 18, repeaters: 1},
		{routers: 22, upstreams: 40, repeaters: 1},
		{routers: 87, upstreams: 165, repeaters: 1},
	} {
		t.Run(fmt.Sprintf("%d routers", s.routers), func(t *testing.T) {
			all := playSeeds(s, chosenWay, seeds)
			if got := most(all, ends); got > 4 {
				t.Errorf("%d upstreams ended", got)
			}
			if got := most(all, refusedInnocents); got > 0 {
				t.Errorf("%d others were refused", got)
			}
			if got := most(all, spreadMS); got > 100 {
				t.Errorf("the last router refused %d ms after the third end", got)
			}
		})
	}
}

// TestPopularRequestSurvivesLossOfARack holds that a request which is asked everywhere
// is not refused when a third of the upstreams loses power under it.
func TestPopularRequestSurvivesLossOfARack(t *testing.T) {
	const seeds = 20
	s := scene{routers: 22, upstreams: 45, popular: true, rackAt: 10 * time.Second}
	if got := most(playSeeds(s, chosenWay, seeds), refusedInnocents); got > 0 {
		t.Errorf("%d requests were refused", got)
	}
}

// BenchmarkWays prints, for each way and scene, how many upstreams ended (median, most),
// how many others were refused (most) and broken off (median), and how long after the
// third end the last router refused (median, most; ms). With 20 seeds, which
// docs/design/suspects.md reports, it takes five minutes.
func BenchmarkWays(b *testing.B) {
	const seeds = 2
	scenes := []scene{
		{routers: 6, upstreams: 18, repeaters: 1},
		{routers: 6, upstreams: 18, repeaters: 4},
		{routers: 22, upstreams: 40, repeaters: 1},
		{routers: 87, upstreams: 165, repeaters: 1},
		{routers: 87, upstreams: 165, repeaters: 20},
		{routers: 22, upstreams: 45, popular: true, rackAt: 10 * time.Second},
		{routers: 22, upstreams: 45, popular: true, rackAt: 10 * time.Second, repeaters: 2},
	}
	for b.Loop() {
		for _, s := range scenes {
			for _, w := range ways {
				all := playSeeds(s, w, seeds)
				b.Logf("%+v %-36s ends %d, %d; others refused %d, broken off %d; spread %d, %d", s, w.name,
					median(all, ends), most(all, ends), most(all, refusedInnocents), median(all, brokenRuns), median(all, spreadMS), most(all, spreadMS))
			}
		}
	}
}
