// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"time"

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

// verdictOf says what becomes of an attempt, from what its engine says now and
// from whether a segment that was read before holds it.
func verdictOf(a granitehoist.KnownAttempt, charged bool) verdict {
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

// newCharge makes the charge of an attempt. It returns false if the attempt's id
// names no budget in force: the id carries a hash only, so that nobody can be
// charged once the documents have dropped the budget.
func newCharge(a granitehoist.KnownAttempt, e engine, names budgetNames, now time.Time) (bill.Charge, bool) {
	parts, ok := a.ID.Parts()
	if !ok || names[parts.BudgetHash] == "" {
		return bill.Charge{}, false
	}
	return bill.Charge{
		Incarnation: parts.Incarnation,
		Request:     parts.Request,
		Attempts:    []granitehoist.AttemptID{a.ID},
		Budget:      names[parts.BudgetHash],
		Owner:       e.owner,
		Service:     e.service,
		Upstream:    e.Name,
		Tokens:      a.Usage.Total(),
		Orphan:      true,
		At:          now,
	}, true
}
