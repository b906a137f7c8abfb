// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
)

// verdict says what becomes of an attempt of a dead router.
type verdict int

const (
	// alreadyCharged attempts stand in a segment.
	alreadyCharged verdict = iota
	// stillRunning attempts have not ended, or their engine has not said what they cost.
	stillRunning
	// neverArrived attempts were stopped before they reached the engine.
	neverArrived
	// toCharge attempts get a charge.
	toCharge
)

// decideVerdict says what becomes of an attempt, from what its engine says now and
// from whether a segment that was read before holds it.
func decideVerdict(a granitehoist.KnownAttempt, charged bool) verdict {
	switch {
	case charged:
		return alreadyCharged
	case !a.Ended || !a.Usage.Reported:
		return stillRunning
	case a.Usage.Total() == 0:
		return neverArrived
	}
	return toCharge
}

// newCharge returns the charge of an attempt of the dead router. It returns false if
// the attempt's id names no budget in force: the id carries a hash only, so that
// nobody can be charged once the documents have dropped the budget.
func (j *settlement) newCharge(a granitehoist.KnownAttempt, e engine) (bill.Charge, bool) {
	dead := j.result.Incarnation
	parts, ok := a.ID.Parts(dead)
	budget := j.names[parts.BudgetHash]
	if !ok || budget == "" {
		return bill.Charge{}, false
	}
	return bill.Charge{
		Incarnation: dead,
		Request:     parts.Request,
		Attempts:    []granitehoist.AttemptID{a.ID},
		Budget:      budget,
		Owner:       e.owner,
		Service:     e.service,
		Upstream:    e.Name,
		Tokens:      a.Usage.Total(),
		Orphan:      true,
		At:          j.now,
	}, true
}
