// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "granitehoist.example/granitehoist"

// attemptOutcome is the input of decideSettlement.
type attemptOutcome struct {
	// code is Served if the attempt succeeded.
	code granitehoist.Code
	// plain is set for a plain service, which costs its fixed price.
	plain bool
	usage granitehoist.Usage
}

// settlement is what to do with the reservation of an attempt.
type settlement int

const (
	// keepReservation leaves the reservation to the next attempt.
	keepReservation settlement = iota
	// settleBound spends the whole reservation.
	settleBound
	// settleUsage spends the usage that the upstream reported.
	settleUsage
	// queryUpstream keeps the reservation until the upstream has reported the cost.
	queryUpstream
)

// decideSettlement decides how an attempt is settled. An attempt that did not run costs
// nothing. A plain service costs its price even if the response was lost, since it can't be
// queried. An engine costs the usage that it reports; if the attempt failed the report may
// be incomplete, so the engine is queried.
func decideSettlement(a attemptOutcome) settlement {
	switch {
	case a.code.Info().Execution == granitehoist.NotRun:
		return keepReservation
	case a.plain:
		return settleBound
	case a.usage.Reported && a.code == granitehoist.Served:
		return settleUsage
	}
	return queryUpstream
}

// requestCost is the input of isCharged.
type requestCost struct {
	// mayHaveRun means that an attempt may have run.
	mayHaveRun bool
	plain      bool
	// wasUnsettled means that an engine was queried for the cost of an attempt.
	wasUnsettled bool
	tokens       granitehoist.Tokens
}

// isCharged reports whether a request gets a charge. It gets none if no attempt can have
// run, or if a queried engine reported no cost, which means that the attempt never arrived.
// Otherwise it gets one, even of zero tokens.
func isCharged(c requestCost) bool {
	neverArrived := !c.plain && c.wasUnsettled && c.tokens == 0
	return c.mayHaveRun && !neverArrived
}
