// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

// quantile estimates a quantile of a series of positive samples without storing them
// (stochastic approximation, Robbins and Monro 1951). The zero value has no samples.
type quantile struct {
	value   float64
	samples int
}

// minRelativeStep is the minimum step of the estimate relative to its value. With it, the
// estimate reflects about the last 100 samples. Smaller values give a steadier estimate
// that adapts more slowly.
const minRelativeStep = 0.02

// observe adds a sample; p is the estimated quantile, from 0 to 1.
func (q *quantile) observe(sample, p float64) {
	q.samples++
	step := max(minRelativeStep, 1/float64(q.samples))
	switch {
	case q.samples == 1:
		q.value = sample
	case sample < q.value:
		q.value -= q.value * step * (1 - p)
	case sample > q.value:
		q.value += q.value * step * p
	}
}

// hasSamples reports whether there are at least the given number of samples.
func (q *quantile) hasSamples(samples int) bool { return q.samples >= samples }

const (
	// minEventGaps is the number of samples from which the event gap of an instance counts
	// as known. They come from several streams, since prefills of long prompts can make the
	// gaps of a single stream long at any instance. With 40 samples, routers of a fleet of
	// 86 took other instances for slow, and two thirds more streams were late.
	minEventGaps = 200
	// minPrefillSamples is the number of prompts from which the prefill rate of a service
	// counts as known.
	minPrefillSamples = 20
	// prefillRateQuantile is the quantile of the observed prefill rates that estimates the
	// rate without queueing. It is high because queued prompts show lower rates.
	prefillRateQuantile = 0.75
	// eventGapQuantile is the quantile of the observed times between two events that
	// estimates an instance's event gap. It is low because gaps during a prefill are longer.
	eventGapQuantile = 0.1
)
