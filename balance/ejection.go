// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

const (
	// firstEjection is the duration of an instance's first ejection.
	firstEjection = 400 * time.Millisecond
	// maxEjection bounds an ejection.
	maxEjection = 4 * time.Second
	// maxEjectionDoublings bounds the doublings, so that they can't overflow.
	// firstEjection reaches maxEjection with fewer.
	maxEjectionDoublings = 5
	// ejectAfterFailures is the number of broken attempts in a row from which on an
	// instance is ejected: one can be chance.
	ejectAfterFailures = 2
	// refusedDivisor makes the ejection after a refusal this part of the first ejection,
	// 100 ms: a full instance soon has room again.
	refusedDivisor = 4
	// failureWeight is the weight of the newest attempt in the mean of failures: about the
	// last five attempts count.
	failureWeight = 0.2
)

// Result is what an attempt says about its instance.
type Result int

// The results of attempts.
const (
	// Good says that the instance did its part.
	Good Result = iota
	// Failed says that it answered with a failure of its own.
	Failed
	// Refused says that it refused the request, for example because it is full.
	Refused
	// Broken says that no answer arrived, or one that can't be used.
	Broken
	// Unclear says nothing about the instance, for example if the caller left.
	Unclear
	// Moved says that another instance has the address.
	Moved
)

// health is what the results of this router's attempts say of an instance. The
// zero value is that of an instance without attempts.
type health struct {
	// failuresInRow counts the broken attempts since the last good one.
	failuresInRow int
	// failureRate is the mean of failures from 0 to 1, newer attempts weighing
	// more. It changes only with attempts, not with time.
	failureRate float64
	// ejectedUntil is when the last ejection ends; zero if there was none.
	ejectedUntil time.Time
}

// ejected decides whether an instance is ejected at a time. The table sends no
// probes: the first request that picks the instance after the ejection tries it.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// withResult decides how an attempt's result changes the health of its instance.
// ejection is the duration of a first ejection.
//
//   - A good attempt resets failuresInRow and lowers the mean. It does not end an
//     ejection, since it may have begun before the failures that caused that.
//   - An instance's own failure raises the mean only. The instance answered, so it
//     is not ejected, but the mean makes it more costly than others.
//   - A refusal ejects for a short time and is no failure.
//   - A broken attempt raises the mean. The second in a row ejects, and so does
//     each further one, for twice as long up to maxEjection.
//   - If another instance has the address, the instance is ejected for maxEjection:
//     the removal of its announcement will arrive in that time.
//
// A new ejection replaces the previous one, even if that would have lasted longer.
func (h health) withResult(r Result, ejection time.Duration, now time.Time) health {
	switch r {
	case Good:
		h.failuresInRow = 0
		h.failureRate -= h.failureRate * failureWeight
	case Failed:
		h.failureRate += (1 - h.failureRate) * failureWeight
	case Refused:
		h.ejectedUntil = now.Add(ejection / refusedDivisor)
	case Broken:
		h.failuresInRow++
		h.failureRate += (1 - h.failureRate) * failureWeight
		if h.failuresInRow >= ejectAfterFailures {
			h.ejectedUntil = now.Add(ejectionAfter(h.failuresInRow, ejection))
		}
	case Moved:
		h.ejectedUntil = now.Add(maxEjection)
	case Unclear:
	}
	return h
}

// ejectionAfter returns the duration of an ejection after a number of failures
// in a row, at least ejectAfterFailures.
func ejectionAfter(failuresInRow int, ejection time.Duration) time.Duration {
	doublings := min(failuresInRow-ejectAfterFailures, maxEjectionDoublings)
	return min(maxEjection, ejection<<doublings)
}
