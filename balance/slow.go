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
// requests, which delays the events of concurrent streams. A prompt is heavy if the prefill
// of all its tokens takes more than heavyPauseFraction of Query.MaxEventGap. An instance is
// slow if its event gap (instanceState.eventGap) exceeds slowThreshold times the median of
// the event gaps of its service's instances. Delays are longest at slow instances.
// Therefore heavy prompts avoid slow instances, which get a larger part of the requests
// that are not heavy.

const (
	// heavyPauseFraction is the fraction of Query.MaxEventGap above which the prefill time
	// makes a prompt heavy. It is below one because several prefills may delay the same
	// event, and because the prefill rate is an estimate. In one run each, 361 of 1,710
	// streams were late at 0.6 and 246 at 0.25.
	heavyPauseFraction = 0.25
	// slowThreshold and slowExitThreshold are multiples of the service's median event gap: an
	// instance becomes slow above the first and stays slow above the second. The
	// hysteresis keeps noise from changing prefix owners.
	slowThreshold, slowExitThreshold = 1.15, 1.08
	// slowUpdateInterval is the least time between two determinations of the slow instances.
	slowUpdateInterval = time.Second
)

// isHeavy reports whether the prefill of a prompt at tokensPerMS takes more than
// heavyPauseFraction of maxEventGap. If maxEventGap is zero or negative, no prompt is heavy.
func isHeavy(prompt granitehoist.Tokens, tokensPerMS float64, maxEventGap time.Duration) bool {
	if maxEventGap <= 0 {
		return false
	}
	prefillMS := float64(prompt) / tokensPerMS
	return prefillMS > heavyPauseFraction*float64(maxEventGap.Milliseconds())
}

// isSlow reports whether an instance is slow, given its event gap and the median event gap
// of its service, both in milliseconds, and whether the instance was slow before.
func isSlow(eventGap, median float64, before bool) bool {
	threshold := slowThreshold
	if before {
		threshold = slowExitThreshold
	}
	return eventGap > threshold*median
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
	// spill determines which part of the requests is sent to other regions.
	spill spillState
}

// markSlow determines the slow instances, at most once in slowUpdateInterval: by their
// event gaps or, for an instance whose event gap is unknown, by the hints.
func (s *serviceState) markSlow(now time.Time) {
	if now.Sub(s.slowUpdatedAt) < slowUpdateInterval {
		return
	}
	s.slowUpdatedAt = now
	s.slowCount = 0
	median := s.medianEventGap()
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

// medianEventGap returns the median of the known event gaps in milliseconds, infinity
// if none is known.
func (s *serviceState) medianEventGap() float64 {
	gaps := make([]float64, 0, len(s.instances))
	for _, i := range s.instances {
		if i.eventGap.hasSamples(minEventGaps) {
			gaps = append(gaps, i.eventGap.value)
		}
	}
	if len(gaps) == 0 {
		return math.Inf(1)
	}
	sort.Float64s(gaps)
	return gaps[len(gaps)/2]
}

// tokensPerMS returns the prefill rate of the service, promptTokensPerMS while it is
// unknown.
func (s *serviceState) tokensPerMS() float64 {
	if !s.prefillRate.hasSamples(minPrefillSamples) {
		return promptTokensPerMS
	}
	return s.prefillRate.value
}

// slowWeight is the ratio of the number of requests at a slow instance to that at an
// instance that is not slow, heavy prompts not counted. With a lower value, more streams
// run beside heavy prompts and are delayed; with a higher one, slow instances are
// overloaded. In a simulation of recorded arrivals, twice as many streams were late at 1 as
// at 3.5; at 10 and twice the load nine times as many.
const slowWeight = 3.5

// prefersSlow decides by a random draw in [0, 1) whether a request that is not heavy
// prefers slow instances, given the numbers of slow and of all instances. A router sees
// only its own load; the random draw keeps the routers from all choosing the same
// instances.
func prefersSlow(slow, all int, draw float64) bool {
	weighted := slowWeight * float64(slow)
	return draw*(weighted+float64(all-slow)) < weighted
}
