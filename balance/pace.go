// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

// quantile follows a quantile of a series of positive samples without keeping them
// (stochastic approximation, Robbins and Monro 1951). The zero value has seen
// nothing.
type quantile struct {
	value   float64
	samples int
}

// minStep is how far a sample moves the value at least, as a part of it: about the last
// 100 samples count. At half of it the value is steadier and takes twice as many samples
// to follow a change.
const minStep = 0.02

// observe adds a sample; part is the quantile that is followed, from 0 to 1.
func (q *quantile) observe(sample, part float64) {
	q.samples++
	step := max(minStep, 1/float64(q.samples))
	switch {
	case q.samples == 1:
		q.value = sample
	case sample < q.value:
		q.value -= q.value * step * (1 - part)
	case sample > q.value:
		q.value += q.value * step * part
	}
}

// known reports whether there were at least so many samples.
func (q *quantile) known(samples int) bool { return q.samples >= samples }

const (
	// minGaps is the number of pauses below which the pace of an instance is unknown:
	// those of a few streams, since one that reads long prompts beside the only
	// stream seems slow. At 40 the routers of a fleet of 86 took others for slow, and
	// two thirds more streams were late.
	minGaps = 200
	// minReadings is the number of prompts below which the reading rate is unknown.
	minReadings = 20
	// readingPart is the quantile of the observed reading rates that counts as an
	// instance's own rate: prompts that waited behind others show a lower one.
	readingPart = 0.75
	// gapPart is the quantile of the pauses between events that counts as an instance's
	// pace: those in which it read a prompt are longer.
	gapPart = 0.1
)
