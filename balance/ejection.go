// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

const (
	// firstEjection is the duration of an instance's first ejection.
	firstEjection = 400 * time.Millisecond
	// maxEjection is the longest duration of an ejection.
	maxEjection = 4 * time.Second
	// maxEjectionDoublings limits the doublings of firstEjection to prevent overflow. Fewer
	// doublings reach maxEjection.
	maxEjectionDoublings = 5
	// ejectAfterFailures is the number of broken attempts without a success in between
	// that eject an instance. A single one may be chance.
	ejectAfterFailures = 2
	// refusedDivisor divides the duration of a first ejection to give that of the ejection
	// after a refusal. It is shorter because a full instance soon has capacity again.
	refusedDivisor = 4
	// failureWeight is the weight of the newest attempt in the moving average of failures.
	// About the last five attempts count.
	failureWeight = 0.2
)

// Result is the outcome of an attempt with respect to its instance.
type Result int

// The results of attempts.
const (
	// Succeeded means that the instance handled the request.
	Succeeded Result = iota
	// Failed means that the instance responded with an error of its own.
	Failed
	// Refused means that the instance refused the request, for example because it is
	// full.
	Refused
	// Broken means that no usable response arrived.
	Broken
	// Excessive means that the response exceeded a bound that no sound response exceeds,
	// for example that its header did not end.
	Excessive
	// Inconclusive gives no information about the instance, for example because the caller
	// disconnected.
	Inconclusive
	// Misdirected means that another instance now has the address.
	Misdirected
)

// health summarizes the results of this router's attempts at an instance. The zero value
// is that of an instance without attempts.
type health struct {
	// failuresInRow counts the broken attempts since the last successful one.
	failuresInRow int
	// failureRate is the exponentially weighted moving average of failures, from 0 to 1.
	// It changes with attempts, not with time.
	failureRate float64
	// ejectedUntil is when the last ejection ends; zero if there was none.
	ejectedUntil time.Time
}

// ejected reports whether the instance is ejected at now. The table sends no probes of
// its own: the first request after the ejection serves as one.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// withResult returns the health after an attempt's result. ejection is the duration of a
// first ejection.
//
//   - Succeeded resets failuresInRow and lowers the failure rate. It does not end an ejection,
//     since the attempt may have begun before the failures that caused the ejection.
//   - Failed only raises the failure rate. The instance responded, so it is not ejected,
//     but the rate increases its cost.
//   - Refused ejects for a short time and does not count as a failure.
//   - Broken raises the failure rate. The second one without a success in between ejects,
//     and each further one ejects for twice as long, up to maxEjection.
//   - Excessive counts as Broken and ejects for maxEjection at once, since it is never chance.
//   - Misdirected ejects for maxEjection: the removal of the old announcement will arrive
//     within that time.
//   - Inconclusive changes nothing.
//
// A new ejection replaces the previous one, even if that would have lasted longer.
func (h health) withResult(r Result, ejection time.Duration, now time.Time) health {
	switch r {
	case Succeeded:
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
	case Excessive:
		h.failuresInRow++
		h.failureRate += (1 - h.failureRate) * failureWeight
		h.ejectedUntil = now.Add(maxEjection)
	case Misdirected:
		h.ejectedUntil = now.Add(maxEjection)
	case Inconclusive:
	}
	return h
}

// ejectionAfter returns the duration of an ejection after failuresInRow broken attempts,
// at least ejectAfterFailures. ejection is the duration of a first ejection.
func ejectionAfter(failuresInRow int, ejection time.Duration) time.Duration {
	doublings := min(failuresInRow-ejectAfterFailures, maxEjectionDoublings)
	return min(maxEjection, ejection<<doublings)
}

// ForgetFailures resets the health of all instances. It is meant for failures that had
// another cause than the instances, such as a partition of this router.
func (t *Table) ForgetFailures() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.instances {
		s.health = health{}
	}
	t.wakeWaiters()
}
