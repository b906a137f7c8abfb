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
	// settleMaxCost spends the whole reservation.
	settleMaxCost
	// settleUsage spends the usage that the upstream reported.
	settleUsage
	// queryUpstream keeps the reservation until the upstream has reported the cost.
	queryUpstream
)

// decideSettlement decides how an attempt is settled. An attempt that did not run costs
// nothing. A plain service costs its price even if the response was lost, since it can't be
// queried. An engine costs the usage that it reports. If it reported none or the attempt
// failed, which can make the report incomplete, the engine is queried.
func decideSettlement(a attemptOutcome) settlement {
	switch {
	case a.code.Info().Execution == granitehoist.NotRun:
		return keepReservation
	case a.plain:
		return settleMaxCost
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

// isCharged reports whether a request gets a charge. A request gets none if no attempt can
// have run, or if an engine was queried and all attempts together cost zero tokens, which
// means that no attempt arrived. Otherwise it gets a charge, even of zero tokens.
func isCharged(c requestCost) bool {
	neverArrived := !c.plain && c.wasUnsettled && c.tokens == 0
	return c.mayHaveRun && !neverArrived
}
