// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package orphan finds the attempts of routers that died with requests in
// progress, and sees to it that each is charged, once.
//
// A router that dies takes its unconfirmed charges with it. The engines still
// know its attempts, whose ids tell the budget and the request. Another router
// of the region lists them and enters a charge for each that no segment holds.
// A charge of the dead router's own that comes into the store later, by way of
// a collector, takes the place of the one made here: both name the attempt.
//
// What the dead router held stays in doubt: plain services keep no list of
// attempts, and loans to other boxes may be on their way, so that its tokens
// are not provably unspent. docs/design/budgets.md has the reasons.
package orphan
