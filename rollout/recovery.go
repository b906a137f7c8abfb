// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import "math"

const (
	// recoveredShare is the part of the baseline's earlier rate of hits that the test for
	// the end of a disturbance looks for.
	recoveredShare = 0.25
	// recoveryThreshold is the log-likelihood ratio at which a disturbance counts as over. A
	// baseline in its usual state reaches it at most once in some 20,000 answers.
	recoveryThreshold = 10
)

// recovery notices that a disturbance of the baseline is over, by a sequential test like
// that of the target (CUSUM). The windows then begin anew with the better answers: with what
// they hold of the disturbance, a target that fails as often as the baseline did in it would
// pass. The zero value is ready for use.
type recovery struct {
	// sums holds the log-likelihood ratios of a baseline that has recovered, rates its rate
	// of hits when the sum was last zero.
	sums, rates [comparisons]float64
	// since holds the baseline's answers on each route since a sum was last zero.
	since [comparisons]map[string]*tally
}

// observe adds the latest answers of all routes. all holds the baseline's answers in the
// windows of all routes, which include the latest.
func (v *recovery) observe(routes map[string]*routeComparison, all [comparisons]controls) {
	for c := range comparisons {
		if v.add(c, routes, all[c].long) < recoveryThreshold {
			continue
		}
		for name, r := range routes {
			if since := v.since[c][name]; since != nil {
				r.long.tally, r.short.tally = *since, tally{}
			}
		}
		*v = recovery{}
		return
	}
}

// add adds the latest answers in a comparison, and returns the sum of the ratios.
func (v *recovery) add(c comparison, routes map[string]*routeComparison, long trials) float64 {
	if v.sums[c] == 0 {
		v.rates[c] = long.rate(1, 0.5)
	}
	rate := v.rates[c]
	hit, other := math.Log(recoveredShare), math.Log((1-recoveredShare*rate)/(1-rate))
	for name, r := range routes {
		latest := r.control.trials(c, r.slowFrom)
		v.sums[c] += latest.hits*hit + (latest.answers-latest.hits)*other
		v.collect(c, name, &r.control)
	}
	if v.sums[c] <= 0 {
		v.sums[c], v.since[c] = 0, nil
	}
	return v.sums[c]
}

// collect adds the latest answers of a route to those since the sum was zero.
func (v *recovery) collect(c comparison, route string, latest *tally) {
	if v.since[c] == nil {
		v.since[c] = map[string]*tally{}
	}
	if v.since[c][route] == nil {
		v.since[c][route] = &tally{}
	}
	v.since[c][route].add(latest)
}
