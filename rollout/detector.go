// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// comparison is a property of answers that is compared.
type comparison int

const (
	failing comparison = iota
	slow
	comparisons
)

const (
	// slowWarmUp is the time from the target's first answers in which slow ones do not
	// count, since the caches of its instances are empty. slowRamp is the shortest time in
	// which it is found to be slow later, when more of its instances begin to serve.
	slowWarmUp = 2500 * time.Millisecond
	slowRamp   = time.Second
	// minFailing and minSlow are the null rates up to which a release is not worse.
	minFailing = 0.02
	minSlow    = 0.05
	// oftenRate is the rate of failures from which a target fails often.
	oftenRate = 0.3
)

// ramp returns the shortest time in which the target is found to be worse.
func (c comparison) ramp() time.Duration {
	if c == slow {
		return slowRamp
	}
	return 0
}

// minNullRate returns the rate of hits that condemns no release.
func (c comparison) minNullRate() float64 {
	if c == slow {
		return minSlow
	}
	return minFailing
}

// String returns the name of the property in reasons.
func (c comparison) String() string {
	if c == slow {
		return "slow answers"
	}
	return "failures"
}

// Detector compares a target with its baseline by a sequential test (sequential.go), for
// each route and for all routes together. It is fed the sum of all routers' evidence again
// and again. The zero value works. It is not safe for concurrent use.
type Detector struct {
	finding Finding
	routes  map[string]*routeComparison
	// all compares all routes together, each with the null rate of its own baseline.
	all      [comparisons]sequential
	excess   excess
	recovery recovery
	// downtimes counts instances of the target that were down, and down their number, as
	// further failures of the target on all routes.
	downtimes downtimes
	down      trials
	// lately holds the target's latest answers on all routes.
	lately window
	// warmAt is when the target's slow answers begin to count. It is zero before its first
	// answer: attempts that get none count at once.
	warmAt time.Time
}

// routeComparison compares target and baseline on one route.
type routeComparison struct {
	// last is the evidence at the last observation.
	last RouteEvidence
	// latest and control are the target's and the baseline's answers since the observation
	// before.
	latest, control tally
	long, short     window
	// slowFrom is the first bucket of slow answers.
	slowFrom int
	tests    [comparisons]sequential
	// target and baseline count all answers, for the finding.
	target, baseline [comparisons]trials
}

// Observe evaluates the sum of all evidence at now. Once it has returned a bad finding, it
// returns that one for ever.
func (d *Detector) Observe(total Evidence, now time.Time) Finding {
	if d.finding.Bad {
		return d.finding
	}
	names := slices.Sorted(maps.Keys(total.Routes))
	var baseline [comparisons]controls
	var target tally
	for _, name := range names {
		evidence := total.Routes[name]
		r := d.route(name)
		r.update(&evidence, now)
		target.add(&r.latest)
		for c := range comparisons {
			baseline[c].add(r.controls(c))
		}
		if d.warmAt.IsZero() && r.latest.answers() > 0 {
			d.warmAt = now.Add(slowWarmUp)
		}
	}
	d.lately.update(&target, latelyWindow, minLatelyAnswers, now)
	d.recovery.observe(d.routes, baseline)
	for c := range comparisons {
		var sum likelihoods
		for _, name := range names {
			sum.add(d.route(name).compare(c, baseline[c], d, now))
		}
		if c == failing {
			sum.add(d.countDown(total.Down, baseline[c], now))
		}
		d.all[c].add(sum, c.ramp(), now)
	}
	d.finding = d.find(names)
	return d.finding
}

// countDown counts the instances of the target that went down as failures, and returns their
// log-likelihood ratios. all holds the baseline's answers on all routes.
func (d *Detector) countDown(attempts map[granitehoist.Upstream]int64, all controls, now time.Time) likelihoods {
	times := d.downtimes.observe(attempts, now)
	latest := trials{answers: times, hits: times}
	null := newNullRate(all, all, failing.minNullRate())
	d.down.add(latest)
	d.excess.add(latest, null)
	return newLikelihoods(latest, null)
}

// FailsOften reports whether the target has lately failed many requests, though perhaps no
// more than its baseline. During a disturbance of both the comparison says little.
func (d *Detector) FailsOften() bool {
	failures := d.lately.failures()
	return failures.answers >= minLatelyAnswers/2 && failures.hits >= oftenRate*failures.answers
}

// find returns the finding of the route that is worse, or of all routes.
func (d *Detector) find(names []string) Finding {
	for c := range comparisons {
		for _, name := range names {
			if r := d.routes[name]; r.tests[c].found() {
				return newFinding(name, c, r)
			}
		}
		if d.all[c].found() || c == failing && d.excess.found() {
			return newFinding("", c, d.sum())
		}
	}
	return Finding{}
}

// route returns the comparison of a route.
func (d *Detector) route(name string) *routeComparison {
	if d.routes == nil {
		d.routes = map[string]*routeComparison{}
	}
	r := d.routes[name]
	if r == nil {
		r = &routeComparison{}
		d.routes[name] = r
	}
	return r
}

// sum returns the counts of all routes.
func (d *Detector) sum() *routeComparison {
	all := &routeComparison{}
	all.target[failing].add(d.down)
	for _, r := range d.routes {
		for c := range comparisons {
			all.target[c].add(r.target[c])
			all.baseline[c].add(r.baseline[c])
		}
	}
	return all
}

// update adds what was counted since the last observation. If a count has fallen, since a
// router has started anew, what was counted meanwhile is left out.
func (r *routeComparison) update(evidence *RouteEvidence, now time.Time) {
	target, targetGrows := evidence.Target.minus(&r.last.Target)
	baseline, baselineGrows := evidence.Baseline.minus(&r.last.Baseline)
	r.last = evidence.clone()
	r.latest, r.control = tally{}, tally{}
	if targetGrows && baselineGrows {
		r.latest, r.control = newTally(&target), newTally(&baseline)
	}
	r.long.update(&r.control, longWindow, minLongAnswers, now)
	r.short.update(&r.control, shortWindow, minShortAnswers, now)
	r.slowFrom = r.long.slowFrom()
}

// controls returns the baseline's answers that the target's are compared with.
func (r *routeComparison) controls(c comparison) controls {
	return controls{long: r.long.trials(c, r.slowFrom), short: r.short.trials(c, r.slowFrom)}
}

// compare evaluates the latest answers and returns their log-likelihood ratios. all holds
// the baseline's answers on all routes.
func (r *routeComparison) compare(c comparison, all controls, d *Detector, now time.Time) likelihoods {
	latest := r.latest.trials(c, r.slowFrom)
	null := newNullRate(all, r.controls(c), c.minNullRate())
	var ratios likelihoods
	if c != slow || !now.Before(d.warmAt) {
		ratios = newLikelihoods(latest, null)
	}
	r.tests[c].add(ratios, c.ramp(), now)
	r.target[c].add(latest)
	r.baseline[c].add(r.control.trials(c, r.slowFrom))
	if c == failing {
		d.excess.add(latest, null)
	}
	return ratios
}

// trials returns the answers with those as hits that the comparison counts; from is the
// first bucket of slow answers.
func (t *tally) trials(c comparison, from int) trials {
	if c == slow {
		return t.slow(from)
	}
	return t.failures()
}

// newFinding returns the finding that the target is worse in a comparison, on a route or,
// if it is empty, on all.
func newFinding(route string, c comparison, r *routeComparison) Finding {
	target, baseline := r.target[c], r.baseline[c]
	return Finding{
		Bad:        true,
		Route:      route,
		Reason:     fmt.Sprintf("%s: %.1f %%, baseline %.1f %%", c, target.percent(), baseline.percent()),
		Answers:    int64(target.answers),
		BadAnswers: int64(target.hits),
		Control:    int64(baseline.answers),
	}
}

// percent returns the rate of hits in per cent.
func (t trials) percent() float64 { return 100 * t.hits / max(1, t.answers) }
