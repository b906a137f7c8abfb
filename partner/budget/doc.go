// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package budget keeps prepaid tokens from being spent twice, by escrow.
//
// Tokens of a budget are at any time unallocated at the root, in stock at a
// region, held by an incarnation of a box, or charged. A request reserves an
// upper bound from what its own box holds before it is sent to an upstream, and
// settles to the use that the upstream reports. A box that is cut off goes on
// spending what it holds and nothing else, so no message, lease or clock is
// needed for safety.
//
// Tokens move by totals that only grow. For every pair of holders the giver
// keeps the total that it ever gave and deducts it first; the receiver keeps
// the total that it ever saw and adds the difference when it sees a larger
// one. A message that is lost, doubled, delayed or out of order can leave
// tokens unused until the next one and can't create any.
//
// State, and who may change it:
//
//   - Root: a record in the store, one a shard of budgets. It holds what was
//     prepaid and the totals given to and taken back from each region.
//   - Page: a record in the store, one a shard and region. It holds the
//     region's stock and a Row for each incarnation that drew on it.
//   - Purse: the memory of one incarnation of a box, under the lock of the
//     Purse. It dies with the process; what it held stays in doubt.
//
// Any router may act on a Root or Page, by compare-and-swap; the Keeper does
// so for the boxes of its region. Which router does only matters for efficiency.
// The Agent moves the messages between a Purse and the Keepers and makes all
// calls; its own lock orders its steps. No call is made under the lock of a Purse.
//
// The package relies on the store's conditional writes, on a granitehoist.Caller
// (that of package fleet) for calls between routers, and on its caller for the
// current time.
//
// 'granitehoist router' runs it. The edge router has package escrow instead, with
// one record for all regions and loans between routers: its platform allows more
// writes to the store, and needs neither regional pages nor an elected keeper.
//
// Begin reading at Agent.Reserve, the way of a request. Then read allot, which
// divides tokens, Purse.Asks and account.surplus, which decide what a box asks
// for and gives back, and Keeper.try, which moves tokens in the store.
//
// The method follows escrow transactions (P. O'Neil, "The Escrow Transactional
// Method", 1986), the demarcation protocol (D. Barbara and H. Garcia-Molina,
// "The Demarcation Protocol", 1992) and bounded counters (V. Balegas et al.,
// "Extending Eventually Consistent Cloud Databases for Enforcing Numeric
// Invariants", 2015).
package budget
