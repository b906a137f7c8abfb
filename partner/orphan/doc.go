// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package orphan finds the attempts of routers that failed with requests in progress
// and charges each of them once.
//
// The charges that a router has not stored yet are lost when it fails. The engines
// still list its attempts, whose ids name the request and a hash of the budget. One
// router of the region at a time, in 'granitehoist router', lists these attempts and
// writes a charge for each that no bill segment contains. If the failed router's own
// charge reaches the store later, both charges contain the attempt's id, and bill.Merge
// drops the orphan charge.
//
// The unspent tokens of the failed router are not recovered: plain services keep no
// list of attempts, and loans to other boxes may be in transit, so it can't be proved
// which tokens are unspent. docs/design/budgets.md has the reasons. An attempt whose budget
// has been removed from the documents is not charged, since its id contains only a
// hash of the budget.
//
// A Settler is stateless. It reads the region records of the budgets and the bill
// segments in the store and writes segments of its own. It depends on packages budget
// and bill for these formats, on config for the list of engines, and on the protocol of
// the engines.
//
// Begin reading at Settler.Settle. lastSeen.isUnresponsive decides which routers are
// settled, and classifyAttempt which attempts are charged.
//
// granitehoist-edge writes no charges. Its package escrow counts the tokens that a
// failed box held as spent.
package orphan
