// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"math"
	"time"
)

const (
	// longWindow and shortWindow are the time constants of the baseline's answers that the
	// target's are compared with. An answer's weight falls only as newer ones arrive, so
	// that a baseline without requests stays as it was last.
	longWindow  = 3 * time.Second
	shortWindow = 300 * time.Millisecond
	// latelyWindow is the time constant of the target's latest answers, and minLatelyAnswers
	// the number of them below which older ones keep their weight.
	latelyWindow     = time.Second
	minLatelyAnswers = 10
	// minLongAnswers and minShortAnswers are the numbers of answers in the windows below
	// which older ones keep their weight.
	minLongAnswers  = 30
	minShortAnswers = 5
	// slowerBuckets is the distance from the baseline's median to the first bucket of slow
	// answers: between 2.4 and 2.8 times as long.
	slowerBuckets = 6
	// minSlowHead is the shortest head time that may count as slow.
	minSlowHead = 25 * time.Millisecond
	// minMedianAnswers is the number of answers from which the median is used.
	minMedianAnswers = 8
	// neverSlow is the first bucket of slow answers if the baseline's median is unknown.
	neverSlow = headBuckets
)

// tally holds weighted counts of answers.
type tally struct {
	good, bad float64
	// heads and unfinished are the histograms of an Arm.
	heads, unfinished [headBuckets]float64
}

// newTally returns the counts of an arm, each with weight 1.
func newTally(a *Arm) tally {
	t := tally{good: float64(a.Good), bad: float64(a.Bad)}
	for bucket, n := range a.Heads {
		t.heads[bucket] = float64(n)
	}
	for bucket, n := range a.Unfinished {
		t.unfinished[bucket] = float64(n)
	}
	return t
}

// answers returns the number of answers.
func (t *tally) answers() float64 { return t.good + t.bad }

// failures returns the answers, with the bad ones as hits.
func (t *tally) failures() trials { return trials{answers: t.answers(), hits: t.bad} }

// slow returns the good answers, with those that took a time from a bucket on as hits. An
// unfinished attempt counts only if it is one.
func (t *tally) slow(from int) trials {
	var all trials
	for bucket := range headBuckets {
		all.answers += t.heads[bucket]
		if bucket >= from {
			all.hits += t.heads[bucket] + t.unfinished[bucket]
			all.answers += t.unfinished[bucket]
		}
	}
	return all
}

// slowFrom returns the first bucket of slow answers in comparison with these.
func (t *tally) slowFrom() int {
	total := 0.0
	for _, n := range t.heads {
		total += n
	}
	if total < minMedianAnswers {
		return neverSlow
	}
	median, sum := 0, t.heads[0]
	for sum < total/2 && median < headBuckets-1 {
		median++
		sum += t.heads[median]
	}
	return max(median+slowerBuckets, headBucket(minSlowHead)+1)
}

// scale multiplies all counts.
func (t *tally) scale(factor float64) {
	t.good *= factor
	t.bad *= factor
	for bucket := range headBuckets {
		t.heads[bucket] *= factor
		t.unfinished[bucket] *= factor
	}
}

// add adds other counts.
func (t *tally) add(other *tally) {
	t.good += other.good
	t.bad += other.bad
	for bucket := range headBuckets {
		t.heads[bucket] += other.heads[bucket]
		t.unfinished[bucket] += other.unfinished[bucket]
	}
}

// window holds the latest answers of a baseline, weighted by their age. The zero value is
// empty.
type window struct {
	tally
	updated time.Time
}

// update adds the answers since the last update. Older ones lose weight with the time
// constant, but keep what minAnswers requires.
func (w *window) update(latest *tally, constant time.Duration, minAnswers float64, now time.Time) {
	n := latest.answers()
	if n == 0 {
		return
	}
	decay := math.Exp(-now.Sub(w.updated).Seconds() / constant.Seconds())
	w.scale(min(1, max(decay, 1-n/minAnswers)))
	w.add(latest)
	w.updated = now
}
