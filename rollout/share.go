// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

const (
	// allowanceUnit is what one request of the canary costs. Integers keep the bound on the
	// share exact.
	allowanceUnit = 1_000_000
	// maxSaved is the largest allowance that a router keeps, in requests, so that what it
	// saves while the target takes none is not sent at once later.
	maxSaved = 3
	// useFactor times the canary share is the probability with which a request uses an
	// allowance that suffices. Without the draw, requests that arrive in a fixed sequence
	// of routes would use it on the same route every time.
	useFactor = 2
)

// allowance limits the requests of the canary to a share of this router's attempts. The
// sum over all routers then keeps to the share without a message. The allowance is one for
// all routes: a router that sees few requests would otherwise need long to earn the first
// one of each route. It is not safe for concurrent use.
type allowance struct {
	// perAttempt and saved are in parts of allowanceUnit.
	perAttempt, saved int64
	useProbability    float64
}

// newAllowance returns an allowance of a share of the attempts, without savings.
func newAllowance(share float64) allowance {
	return allowance{perAttempt: int64(share * allowanceUnit), useProbability: useFactor * share}
}

// earn adds the share of one attempt.
func (a *allowance) earn() { a.saved = min(a.saved+a.perAttempt, maxSaved*allowanceUnit) }

// take uses the allowance for one request and reports whether it may. draw is a random
// number in [0, 1).
func (a *allowance) take(draw float64) bool {
	if a.saved < allowanceUnit || draw >= a.useProbability {
		return false
	}
	a.saved -= allowanceUnit
	return true
}

// refund gives back what take used.
func (a *allowance) refund() { a.saved = min(a.saved+allowanceUnit, maxSaved*allowanceUnit) }
