// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package budget enforces prepaid token budgets across routers by escrow: tokens are
// granted to a box before requests spend them, so that none is spent twice.
//
// At any time a token of a budget is unallocated at the root, in the stock of a region,
// held by an incarnation of a box, or charged. Before a request is sent to an upstream,
// its maximum cost is reserved from what its box holds. Afterwards the
// reservation is settled at the use that the upstream reports. A box that is cut off
// continues to spend what it holds and nothing else, so safety depends on no message,
// lease or clock.
//
// Tokens move by monotonic totals. For each pair of holders, the sender stores the total
// that it ever sent and deducts it first; the receiver stores the total that it ever saw
// and adds the difference when a larger one arrives. A lost, duplicated, delayed or
// reordered message can leave tokens unused for a while, but never creates any.
//
// The main types are:
//
//   - RootRecord: a stored record per shard of budgets, with the prepaid totals and the
//     totals granted to and returned by each region.
//   - RegionRecord: a stored record per shard and region, with the region's stock and a
//     Row for each incarnation that drew on it.
//   - Ledger: the in-memory accounts of one incarnation of a box, guarded by a lock. They
//     are lost with the process, and the tokens that it held stay in doubt.
//   - Allocator: grants tokens to the boxes of its region by compare-and-swap on both kinds
//     of records. Any router may run one for any shard; a single one per shard only
//     avoids write conflicts.
//   - Agent: exchanges messages between a Ledger and the Allocators, and makes all calls.
//     Its lock serializes its rounds; no call is made under the lock of a Ledger.
//
// The package depends on conditional writes of the store, on a granitehoist.Caller for
// calls between routers, such as the Caller of package fleet, and on its own callers for
// the time.
//
// 'granitehoist router' uses this package. granitehoist-edge uses package escrow, with
// one record for all regions and loans between routers: its platform allows more writes
// to the store and needs neither regional records nor an elected allocator.
//
// Begin with Agent.Reserve, which serves a request. Then read allocate, which divides
// tokens, Ledger.Reports and account.surplus, which determine what a box requests and
// returns, and Allocator.attempt, which updates the records.
//
// The method follows escrow transactions (P. O'Neil, "The Escrow Transactional
// Method", 1986), the demarcation protocol (D. Barbara and H. Garcia-Molina,
// "The Demarcation Protocol", 1992) and bounded counters (V. Balegas et al.,
// "Extending Eventually Consistent Cloud Databases for Enforcing Numeric
// Invariants", 2015).
package budget
