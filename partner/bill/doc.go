// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package bill records the cost of each request exactly once.
//
// The incarnation that serves a request makes its charge and gives it a sequence
// number. It keeps the charge until a segment, a record of many charges in the store,
// holds it. A batch that is sent again carries the same sequence numbers, so readers
// of segments can remove duplicates. Charges of the same request id and workspace
// form one bill, even if a retry ran at another router.
//
// A Ledger holds the unconfirmed charges of its incarnation in memory. They are lost
// in a crash, after which package orphan recovers them from the attempt records of the
// engines. Segments are created once and never changed.
//
// The package uses the store's conditional writes, a granitehoist.Caller to reach the
// region's collector, and internal/batch to combine batches.
//
// 'granitehoist router' uses it. granitehoist-edge has no bills, since the upstreams
// of its platform do the accounting.
//
// Begin reading at Ledger, then Sender.Flush, Collector.Collect and Merge.
package bill
