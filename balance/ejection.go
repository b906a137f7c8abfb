// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

const (
	// DefaultEjection is the duration of an instance's first ejection. Chosen,
	// not measured.
	DefaultEjection = 400 * time.Millisecond
	// maxEjection bounds an ejection. Chosen, not measured.
	maxEjection = 4 * time.Second
	// maxEjectionDoublings bounds the doublings, so that they can't overflow.
	// The default reaches maxEjection with fewer. Chosen, not measured.
	maxEjectionDoublings = 5
	// ejectAfterFailures is the number of broken attempts in a row from which on
	// an instance is ejected: one can be chance. Chosen, not measured.
	ejectAfterFailures = 2
	// refusedDivisor makes the ejection after a refusal this part of the first
	// ejection, 100 ms by default: a full instance soon has room again. Chosen,
	// not measured.
	refusedDivisor = 4
	// failureWeight is the weight of the newest attempt in the mean of failures:
	// about the last five attempts count. Chosen, not measured.
	failureWeight = 0.2
)

// Result is how an attempt ended, as far as it tells something of the instance.
type Result int

// The results of attempts.
const (
	// Good says that the instance did its part.
	Good Result = iota
	// Failed says that it answered with a failure of its own.
	Failed
	// Refused says that it has no room.
	Refused
	// Broken says that no answer arrived, or one that can't be used.
	Broken
	// Unclear says nothing of the instance, for example if the caller left.
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

// ejected decides whether an instance is left out at a time. Nothing is asked of
// an ejected instance: it is tried again by the first request that chooses it
// after the ejection.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// withResult decides what an attempt's result changes; ejection is the duration of a
// first ejection.
//
//   - A good attempt ends the row of failures and lowers the mean. It does not
//     end an ejection: it may have begun before what caused that.
//   - An instance's own failure raises the mean only. It is an answer, so the
//     instance lives; the mean makes it more costly than others.
//   - A refusal ejects for a short time and is no failure.
//   - A broken attempt raises the mean; from the second in a row on it ejects,
//     for a time that doubles with each up to maxEjection.
//   - An address that another instance has ejects for the longest time: the
//     removal of the announcement is on its way.
//
// A new ejection replaces the one before, also if that would have lasted longer.
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
