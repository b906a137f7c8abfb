// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
)

// attemptStatus is the billing status of an attempt of a failed router.
type attemptStatus int

const (
	// alreadyCharged attempts are in a bill segment.
	alreadyCharged attemptStatus = iota
	// stillRunning attempts have not ended, or their engine has not reported the usage.
	stillRunning
	// neverReceived attempts were stopped before they reached the engine; they cost nothing.
	neverReceived
	// uncharged attempts have ended and need a charge.
	uncharged
)

// classifyAttempt returns the status of an attempt, given the engine's report and
// whether a bill segment contains the attempt.
func classifyAttempt(a granitehoist.KnownAttempt, charged bool) attemptStatus {
	switch {
	case charged:
		return alreadyCharged
	case !a.Ended || !a.Usage.Reported:
		return stillRunning
	case a.Usage.Total() == 0:
		return neverReceived
	}
	return uncharged
}

// newCharge returns the charge for an attempt of the failed router. It returns false
// if the attempt id is malformed, or if no budget in force has the hash in the id, as
// after the budget was removed from the documents.
func (s *settlement) newCharge(a granitehoist.KnownAttempt, e engine) (bill.Charge, bool) {
	failed := s.result.Incarnation
	parts, ok := a.ID.Parts(failed)
	budget := s.budgets[parts.BudgetHash]
	if !ok || budget == "" {
		return bill.Charge{}, false
	}
	return bill.Charge{
		Incarnation: failed,
		Request:     parts.Request,
		Attempts:    []granitehoist.AttemptID{a.ID},
		Budget:      budget,
		Owner:       e.owner,
		Service:     e.service,
		Upstream:    e.Name,
		Tokens:      a.Usage.Total(),
		Orphan:      true,
		At:          s.now,
	}, true
}
