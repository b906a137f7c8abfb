// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// admission is whether tokens are reserved for a claim, and if not, why.
type admission int

const (
	// admitted says that the tokens may be reserved.
	admitted admission = iota
	// tooFewFree says that the router has fewer free tokens than the claim needs.
	tooFewFree
	// leftForUrgent says that the router has them, but leaves them for requests of
	// a higher priority.
	leftForUrgent
)

// admit decides whether a claim may reserve tokens: what is free now must cover
// its bound and what is reserved for urgent requests. Only tokens that this
// router owns count, never what it knows of others, so that no two routers can
// spend the same token.
func admit(free, bound, forUrgent granitehoist.Tokens) admission {
	switch {
	case free < bound:
		return tooFewFree
	case free < bound+forUrgent:
		return leftForUrgent
	}
	return admitted
}
