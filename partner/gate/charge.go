// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "granitehoist.example/granitehoist"

// attemptEnd is what decides how an attempt is settled.
type attemptEnd struct {
	// code is Served for an attempt that succeeded.
	code granitehoist.Code
	// plain says that the service is a plain one, which costs its price.
	plain bool
	usage granitehoist.Usage
}

// settlement says what becomes of an attempt's reservation.
type settlement int

const (
	// keepReservation leaves it to the next attempt.
	keepReservation settlement = iota
	// settleBound spends all of it.
	settleBound
	// settleUsage spends what the upstream reported.
	settleUsage
	// askUpstream leaves it until the upstream has said what the attempt cost.
	askUpstream
)

// decideSettlement decides how an attempt is paid for. One that did not run
// costs nothing. A plain service costs its price even if its answer was lost, since
// it can't be asked. An engine costs what it reports; if its attempt failed, the
// report may be incomplete, so the engine is asked.
func decideSettlement(a attemptEnd) settlement {
	switch {
	case a.code.Info().Fate == granitehoist.NotRun:
		return keepReservation
	case a.plain:
		return settleBound
	case a.usage.Reported && a.code == granitehoist.Served:
		return settleUsage
	}
	return askUpstream
}

// requestCost is what decides whether a request is charged.
type requestCost struct {
	// mayHaveRun says that an attempt may have run.
	mayHaveRun bool
	plain      bool
	// wasUnsettled says that an engine had to be asked what an attempt cost.
	wasUnsettled bool
	tokens       granitehoist.Tokens
}

// isCharged decides whether a request gets a charge: not if no attempt can have
// run, nor if the engine that was asked says that it cost nothing, since then
// the attempt never arrived there. Otherwise it gets one, even of no tokens.
func isCharged(c requestCost) bool {
	neverArrived := !c.plain && c.wasUnsettled && c.tokens == 0
	return c.mayHaveRun && !neverArrived
}
