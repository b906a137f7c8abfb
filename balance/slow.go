// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"slices"
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// An upstream interleaves chunks of prompt prefill with the decoding of its other
// requests, which delays the events of concurrent streams. A prompt is heavy if its prefill
// takes more than heavyPauseFraction of Query.MaxEventGap. The pace of an instance is
// eventGapQuantile of its event gaps, so a higher pace means a slower instance. An instance
// is slow if its pace exceeds slowThreshold times the median of its service. Delays are
// longest at slow instances, so heavy prompts avoid them, and a larger part of the other
// requests goes there instead.

const (
	// heavyPauseFraction is the fraction of Query.MaxEventGap above which the prefill time
	// makes a prompt heavy. It is below one because several prefills may delay the same
	// event, and because the prefill rate is an estimate.
	heavyPauseFraction = 0.25
	// slowThreshold and slowExitThreshold are multiples of the service's median pace: an
	// instance becomes slow above the first and stays slow above the second. The
	// hysteresis keeps noise from changing prefix owners.
	slowThreshold, slowExitThreshold = 1.15, 1.08
	// slowUpdateInterval is the interval at which slow instances are determined.
	slowUpdateInterval = time.Second
)

// isHeavy reports whether the prefill of a prompt at tokensPerMS takes more than
// heavyPauseFraction of the allowed event gap. Zero or less means no limit.
func isHeavy(prompt granitehoist.Tokens, tokensPerMS float64, allowed time.Duration) bool {
	if allowed <= 0 {
		return false
	}
	reading := float64(prompt) / tokensPerMS
	return reading > heavyPauseFraction*float64(allowed.Milliseconds())
}

// isSlow reports whether an instance is slow, given its pace in milliseconds between two
// events, the median pace of the service, and whether it was slow before.
func isSlow(pace, median float64, before bool) bool {
	threshold := slowThreshold
	if before {
		threshold = slowExitThreshold
	}
	return pace > threshold*median
}

// serviceState holds a table's state of one service. It is guarded by the lock of its
// table.
type serviceState struct {
	// waiting counts the waiting requests by priority.
	waiting   [granitehoist.MaxPriority + 1]int
	instances []*instanceState
	// prefillRate estimates the prefill rate of the instances, in tokens per millisecond.
	prefillRate quantile
	// hintedSlow holds the instances that another router reported as slow.
	hintedSlow []granitehoist.Upstream
	// slowCount is the number of slow instances as of slowUpdatedAt.
	slowCount     int
	slowUpdatedAt time.Time
}

// markSlow determines the slow instances, at most once in slowUpdateInterval: by their
// observed pace or, while that is unknown, by a hint.
func (s *serviceState) markSlow(now time.Time) {
	if now.Sub(s.slowUpdatedAt) < slowUpdateInterval {
		return
	}
	s.slowUpdatedAt = now
	s.slowCount = 0
	median := s.medianPace()
	for _, i := range s.instances {
		i.slow = isSlow(i.eventGap.value, median, i.slow)
		if !i.eventGap.hasSamples(minEventGaps) {
			i.slow = slices.Contains(s.hintedSlow, i.ID)
		}
		if i.slow {
			s.slowCount++
		}
	}
}

// medianPace returns the median of the known paces, infinity if none is known.
func (s *serviceState) medianPace() float64 {
	paces := make([]float64, 0, len(s.instances))
	for _, i := range s.instances {
		if i.eventGap.hasSamples(minEventGaps) {
			paces = append(paces, i.eventGap.value)
		}
	}
	if len(paces) == 0 {
		return math.Inf(1)
	}
	sort.Float64s(paces)
	return paces[len(paces)/2]
}

// tokensPerMS returns the prefill rate of the service, promptTokensPerMS while it is
// unknown.
func (s *serviceState) tokensPerMS() float64 {
	if !s.prefillRate.hasSamples(minPrefillSamples) {
		return promptTokensPerMS
	}
	return s.prefillRate.value
}

// slowWeight is the ratio of the requests at a slow instance to those at another one,
// heavy prompts not counted. With a lower value, more streams run beside heavy prompts and
// are delayed; with a higher one, slow instances are overloaded.
const slowWeight = 3.5

// prefersSlow decides by a random draw in [0, 1) whether a request that is not heavy
// prefers slow instances, given the numbers of slow and of all instances. A router sees
// only its own load; the random draw keeps the routers from all choosing the same
// instances.
func prefersSlow(slow, all int, draw float64) bool {
	weighted := slowWeight * float64(slow)
	return draw*(weighted+float64(all-slow)) < weighted
}
