// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"math"
	"slices"
	"time"
)

// The test of the detector compares the rate of hits among the target's answers (failures,
// or slow answers) with a null rate that comes from the baseline. For each alternative it
// adds up the log-likelihood ratio of the answers, with zero as the lower bound (CUSUM). It
// finds the target worse when one of the sums reaches findThreshold.
//
// The inputs are the counts of both sides since the last observation. The bounds are:
//
//   - False findings: at most one in a thousand orders of a release like its baseline.
//   - Delay: with 6 answers of the target per second of which half fail, 3 s in 9 of 10
//     orders; with 53 per second, 1 s.
//   - MaxBadAnswers: a release that fails clearly more often than its baseline is found
//     before, whatever the alternatives (excess).
const (
	// findThreshold is the log-likelihood ratio at which the target is found worse.
	findThreshold = 8
	// quietSum is the sum up to which nothing is suspected. The ramp of a sum begins where
	// it was last as low.
	quietSum = 1
	// maxNullRate bounds the null rate where the baseline says nothing.
	maxNullRate = 0.95
	// nullMargin is the number of standard errors that the null rate lies above the
	// baseline's rate, and nullFactor a factor on that rate: a release that fails a little
	// more often is no worse.
	nullMargin = 1.5
	nullFactor = 1.5
	// routePrior is the weight, in answers, of the rate on all routes in that of one route,
	// and shortPrior that of the long window in the rate of the short one.
	routePrior = 20
	shortPrior = 5
	// recentMargin is the number of standard errors by which the rate of the short window
	// has to lie above that of the long one to count.
	recentMargin = 2.5
	// minExcessHits and excessMargin bound the excess test: it needs so many hits, and so
	// many standard deviations more than expected of the baseline.
	minExcessHits = MaxBadAnswers / 2
	excessMargin  = 5
)

// alternatives are the rates of hits that the test looks for, as the share of the answers
// that turn into hits in addition to the null rate.
var alternatives = [...]float64{0.1, 0.3, 0.6}

// trials counts answers and the hits among them.
type trials struct{ answers, hits float64 }

// add adds further answers.
func (t *trials) add(other trials) {
	t.answers += other.answers
	t.hits += other.hits
}

// rate returns the share of hits, with a prior rate that weighs as much as some answers.
func (t trials) rate(weight, prior float64) float64 {
	return (t.hits + weight*prior) / (t.answers + weight)
}

// controls are the baseline's answers in a long window, for precision, and in a short one,
// since a disturbance that begins now concerns both sides.
type controls struct{ long, short trials }

// add adds the answers on another route.
func (c *controls) add(other controls) {
	c.long.add(other.long)
	c.short.add(other.short)
}

// nullRate is the rate of hits of a target that equals its baseline.
type nullRate struct {
	// expected allows for the uncertainty of few answers; upper also for a target that is a
	// little worse.
	expected, upper float64
}

// newNullRate estimates the null rate on a route from the baseline's answers there and on
// all routes. A rate of lowest condemns no release.
func newNullRate(all, route controls, lowest float64) nullRate {
	allLong := all.long.rate(1, 0.5)
	long := route.long.rate(routePrior, allLong)
	null := nullRate{upper: lowest}
	null.raise(long, route.long.answers+routePrior)
	null.raiseToRecent(all.short, allLong)
	null.raiseToRecent(route.short, long)
	null.upper = min(null.upper, maxNullRate)
	return null
}

// raise raises the null rate to one that was estimated from some answers.
func (n *nullRate) raise(rate, answers float64) {
	margin := nullMargin * standardError(rate, answers)
	n.expected = max(n.expected, rate+margin)
	n.upper = max(n.upper, nullFactor*rate+margin)
}

// raiseToRecent raises the null rate to that of the short window if it is clearly above the
// one of the long window.
func (n *nullRate) raiseToRecent(short trials, long float64) {
	answers := short.answers + shortPrior
	if rate := short.rate(shortPrior, long); rate > long+recentMargin*standardError(long, answers) {
		n.raise(rate, answers)
	}
}

// standardError returns the standard error of a rate that was estimated from some answers.
func standardError(rate, answers float64) float64 {
	return math.Sqrt(rate * (1 - rate) / answers)
}

// likelihoods holds the log-likelihood ratio of some answers for each alternative.
type likelihoods [len(alternatives)]float64

// newLikelihoods returns the ratios of the target's answers.
func newLikelihoods(t trials, null nullRate) likelihoods {
	var l likelihoods
	for i, rise := range alternatives {
		worse := null.upper + rise*(1-null.upper)
		l[i] = t.hits*math.Log(worse/null.upper) + (t.answers-t.hits)*math.Log(1-rise)
	}
	return l
}

// add adds the ratios of other answers.
func (l *likelihoods) add(other likelihoods) {
	for i := range l {
		l[i] += other[i]
	}
}

// sequential holds the sums of log-likelihood ratios of one comparison. The zero value is
// ready for use.
type sequential struct {
	sums likelihoods
	// since is when each sum was last below quietSum.
	since [len(alternatives)]time.Time
}

// add adds the ratios of the latest answers. The sums stay between zero and findThreshold,
// so that neither a long good nor a long bad time delays the reaction to a change. They
// reach the threshold no earlier than a time after they were quiet.
func (s *sequential) add(l likelihoods, ramp time.Duration, now time.Time) {
	for i := range s.sums {
		if s.sums[i] < quietSum {
			s.since[i] = now
		}
		limit := float64(findThreshold)
		if after := now.Sub(s.since[i]); after < ramp {
			limit = quietSum + (limit-quietSum)*after.Seconds()/ramp.Seconds()
		}
		s.sums[i] = min(max(0, s.sums[i]+l[i]), limit)
	}
}

// found reports whether a sum has reached the threshold.
func (s *sequential) found() bool {
	return slices.Max(s.sums[:]) >= findThreshold
}

// excess compares the sum of all hits with the number expected of the baseline. It finds
// what lies between the null rate and the first alternative. The zero value is ready for
// use.
type excess struct{ hits, expected float64 }

// add adds the target's latest answers.
func (e *excess) add(t trials, null nullRate) {
	e.hits += t.hits
	e.expected += t.answers * null.expected
}

// found reports whether there are clearly more hits than expected.
func (e *excess) found() bool {
	return e.hits >= minExcessHits && e.hits-e.expected >= excessMargin*math.Sqrt(max(1, e.expected))
}
