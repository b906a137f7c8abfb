// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package escrow keeps prepaid tokens from being spent twice by routers that
// share nothing but the platform's store.
//
// A Record in the store holds, for each workspace and incarnation of a router,
// the tokens that were ever granted to it and that it ever returned. A router
// owns what its row grants, less what it returned and spent, and spends nothing
// else. A request reserves the most that it can cost before an upstream hears
// of it and is settled to what it got.
//
// Rows only grow and each has one writer, so a write whose answer is lost needs
// no repair: the next read shows whether it took effect, and a write that the
// store performs later still has the version as its condition. What a router
// owned when it died is never granted again: how much it had spent can't be
// known. Grants are therefore a few seconds of the demand, and shrink with what
// is left of the budget.
package escrow
