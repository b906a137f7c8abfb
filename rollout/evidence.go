// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"math"
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// Evidence counts the answers of a target and its baseline by route. The counts of one
// router for one order only grow, and only that router changes them, so that an older copy
// can be replaced by a newer one. The zero value is empty.
type Evidence struct {
	Routes map[string]RouteEvidence `json:"routes,omitempty"`
	// Down counts the attempts of Outcome Down at the target, by instance, for up to
	// maxDownInstances. Those at the baseline count as bad answers.
	Down map[granitehoist.Upstream]int64 `json:"down,omitempty"`
}

// RouteEvidence counts the answers on one route.
type RouteEvidence struct {
	Target   Arm `json:"target"`
	Baseline Arm `json:"baseline"`
}

// Arm counts the answers of one side of the comparison.
type Arm struct {
	// Sent is the number of attempts that were sent and have ended, whatever their outcome.
	Sent int64 `json:"sent,omitempty"`
	// Good and Bad count the answers of Outcome Good and Bad.
	Good int64 `json:"good,omitempty"`
	Bad  int64 `json:"bad,omitempty"`
	// Heads counts Sample.Head of the good answers by histogram bucket (headBucket).
	// Buckets after the last one are empty.
	Heads []int64 `json:"heads,omitempty"`
	// Unfinished counts Sample.Head of the inconclusive attempts likewise. It is a lower
	// bound, which says something only where it is long.
	Unfinished []int64 `json:"unfinished,omitempty"`
}

const (
	// maxRoutes limits the number of routes that are counted separately.
	maxRoutes = 64
	// maxDownInstances limits the number of instances in Evidence.Down.
	maxDownInstances = 64
	// otherRoutes counts the answers on all further routes.
	otherRoutes = "*"
	// headUnit is the upper bound of the first bucket.
	headUnit = time.Millisecond
	// bucketsPerDoubling is the number of buckets after the first in which the head time
	// doubles.
	bucketsPerDoubling = 4
	// headBuckets is the number of buckets; the last one, from about a minute, has no upper
	// bound.
	headBuckets = 16*bucketsPerDoubling + 2
)

// headBucket returns the histogram bucket of a head time.
func headBucket(head time.Duration) int {
	if head < headUnit {
		return 0
	}
	doublings := math.Log2(float64(head) / float64(headUnit))
	return min(1+int(doublings*bucketsPerDoubling), headBuckets-1)
}

// Add adds the counts of another router.
func (e *Evidence) Add(other Evidence) {
	for name, route := range other.Routes {
		e.change(name, func(r *RouteEvidence) { r.add(&route) })
	}
	for instance, n := range other.Down {
		e.countDown(instance, n)
	}
}

// countDown counts attempts at an instance of the target that was down.
func (e *Evidence) countDown(instance granitehoist.Upstream, n int64) {
	if e.Down == nil {
		e.Down = map[granitehoist.Upstream]int64{}
	}
	if _, found := e.Down[instance]; found || len(e.Down) < maxDownInstances {
		e.Down[instance] += n
	}
}

// targetFailures returns the number of bad answers of the target and of attempts at its
// instances that were down.
func (e *Evidence) targetFailures() int64 {
	var failures int64
	for _, route := range e.Routes {
		failures += route.Target.Bad
	}
	for _, n := range e.Down {
		failures += n
	}
	return failures
}

// record counts the result of an attempt at the target or, if target is not set, at the
// baseline.
func (e *Evidence) record(s *Sample, target bool) {
	if target && s.Outcome == Down {
		e.countDown(s.Upstream, 1)
	}
	e.change(s.Route, func(r *RouteEvidence) {
		if target {
			r.Target.record(s)
			return
		}
		r.Baseline.record(s)
		if s.Outcome == Down {
			r.Baseline.Bad++
		}
	})
}

// change applies a change to the counts of a route, or to those of otherRoutes if there are
// too many.
func (e *Evidence) change(name string, apply func(*RouteEvidence)) {
	if e.Routes == nil {
		e.Routes = map[string]RouteEvidence{}
	}
	if _, found := e.Routes[name]; !found && len(e.Routes) >= maxRoutes {
		name = otherRoutes
	}
	route := e.Routes[name]
	apply(&route)
	e.Routes[name] = route
}

// clone returns a copy that shares nothing with e.
func (e *Evidence) clone() Evidence {
	var c Evidence
	c.Add(*e)
	return c
}

// clone returns a copy that shares nothing with r.
func (r *RouteEvidence) clone() RouteEvidence {
	var c RouteEvidence
	c.add(r)
	return c
}

// add adds the counts of another router.
func (r *RouteEvidence) add(other *RouteEvidence) {
	r.Target.add(&other.Target)
	r.Baseline.add(&other.Baseline)
}

// record counts the result of an attempt.
func (a *Arm) record(s *Sample) {
	a.Sent++
	switch s.Outcome {
	case Good:
		a.Good++
		a.Heads = addCount(a.Heads, headBucket(s.Head), 1)
	case Bad:
		a.Bad++
	case Inconclusive:
		a.Unfinished = addCount(a.Unfinished, headBucket(s.Head), 1)
	case Down:
	}
}

// add adds the counts of another arm.
func (a *Arm) add(other *Arm) {
	a.Sent += other.Sent
	a.Good += other.Good
	a.Bad += other.Bad
	for bucket, n := range other.Heads {
		a.Heads = addCount(a.Heads, bucket, n)
	}
	for bucket, n := range other.Unfinished {
		a.Unfinished = addCount(a.Unfinished, bucket, n)
	}
}

// minus returns the growth since an earlier copy; false if a count has fallen.
func (a *Arm) minus(earlier *Arm) (Arm, bool) {
	growth := Arm{Sent: a.Sent - earlier.Sent, Good: a.Good - earlier.Good, Bad: a.Bad - earlier.Bad}
	var headsGrow, unfinishedGrow bool
	growth.Heads, headsGrow = subtractCounts(a.Heads, earlier.Heads)
	growth.Unfinished, unfinishedGrow = subtractCounts(a.Unfinished, earlier.Unfinished)
	return growth, growth.Sent >= 0 && growth.Good >= 0 && growth.Bad >= 0 && headsGrow && unfinishedGrow
}

// addCount adds n to a bucket, which may lie behind the end of counts. Buckets that other
// versions may send beyond the last one are counted in that one.
func addCount(counts []int64, bucket int, n int64) []int64 {
	bucket = min(bucket, headBuckets-1)
	if missing := bucket + 1 - len(counts); missing > 0 {
		counts = append(counts, make([]int64, missing)...)
	}
	counts[bucket] += n
	return counts
}

// subtractCounts returns counts less earlier; false if a difference is negative.
func subtractCounts(counts, earlier []int64) ([]int64, bool) {
	difference := slices.Clone(counts)
	grows := true
	for bucket, n := range earlier {
		difference = addCount(difference, bucket, -n)
		grows = grows && difference[bucket] >= 0
	}
	return difference, grows
}
