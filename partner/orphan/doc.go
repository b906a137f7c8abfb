// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package orphan finds the attempts of routers that died with requests in progress
// and charges each of them once. One router of a region does so at a time, in
// 'granitehoist router'.
//
// A router that dies takes its unconfirmed charges with it. The engines still
// have its attempts, whose ids name the budget and the request. Another router
// of the region lists them and enters a charge for each that no segment holds.
// If a collector stores the dead router's own charge later, that one replaces the
// one made here: both name the attempt.
//
// What the dead router held stays in doubt: plain services keep no list of
// attempts, and loans to other boxes may be on their way, so that its tokens
// are not provably unspent. docs/design/budgets.md has the reasons. An attempt on
// a budget that the documents have dropped since is not charged, as its id holds
// a hash of the budget only.
//
// State. A Settler has none; it reads the budgets' pages and the segments of
// bills in the store, and writes segments of its own. It relies on the packages
// budget and bill for their forms, on config for the engines, and on the
// engines' protocol.
//
// Begin with Settler.Settle; the rules are lastSeen.isSilent and decideVerdict.
//
// granitehoist-edge makes no charges and so has nothing to settle; what a dead box
// held counts as spent there (package escrow).
package orphan
