// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package budget keeps prepaid tokens from being spent twice, by escrow.
//
// Tokens of a budget are at any time unallocated at the root, in stock at a
// region, held by an incarnation of a box, or charged. A request reserves an
// upper bound from what its own box holds before an upstream hears of it, and
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
// The holders are:
//
//   - Root: a record in the store, one a shard of budgets. It knows what was
//     prepaid and the totals given to and taken back from each region.
//   - Page: a record in the store, one a shard and region. It holds the
//     region's stock and a Row for each incarnation that drew on it.
//   - Purse: the memory of one incarnation of a box.
//
// Any router may act on a Root or Page, by compare-and-swap; the Keeper does
// so for the boxes of its region. Which router does is a matter of efficiency.
//
// The method follows escrow transactions (P. O'Neil, "The Escrow Transactional
// Method", 1986), the demarcation protocol (D. Barbara and H. Garcia-Molina,
// "The Demarcation Protocol", 1992) and bounded counters (V. Balegas et al.,
// "Extending Eventually Consistent Cloud Databases for Enforcing Numeric
// Invariants", 2015).
package budget
