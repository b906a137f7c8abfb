// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package bill records what each request cost, exactly once.
//
// A charge is made by the incarnation that served the request and numbered by
// it. The incarnation keeps it until it is confirmed in a segment, a record in
// the store that holds many charges. A batch that is sent again, to the same
// collector or another, names the same numbers, so a reader of the segments counts
// each charge once; and it counts the charges of one request id of a workspace
// as one bill, even if a caller's retry ran at another router.
//
// State: a Ledger holds the unconfirmed charges of this incarnation, under its own
// lock; they die with the process, and package orphan recovers them from the
// engines' lists. A Collector holds the number of its last segment, under its
// own lock. Segments in the store are created once and never changed.
//
// It relies on the store's conditional writes, on a granitehoist.Caller (that of
// package fleet) to reach the region's collector, and on internal/batch to gather
// batches.
//
// 'granitehoist router' runs it. The edge router keeps no bills: on its platform
// the upstreams' own books count.
//
// Begin reading at Ledger, then Sender.Flush, Collector.Collect and Merge.
package bill
