// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// minRepayPart is the part of the prepaid total below which it is not worth a call
// to repay a relay. Chosen, not measured (c1de361).
const minRepayPart = 0.0005

// surplusOf decides how many tokens a router that does not write the record gives
// to a relay, or hands over to neighbours when it stops: what is beyond its
// target, if it holds more than returnAboveTarget times that and the rest is worth
// a call. At a stop the target is zero.
func surplusOf(free, target, limit granitehoist.Tokens) granitehoist.Tokens {
	surplus := free - target
	if float64(free) <= returnAboveTarget*float64(target) || float64(surplus) <= minRepayPart*float64(limit) {
		return 0
	}
	return surplus
}
