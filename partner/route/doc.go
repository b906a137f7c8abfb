// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package route chooses the upstream of each attempt, for package gate in
// 'granitehoist router'.
//
// Requests with the same prompt prefix go to the same upstream, so that its prefix
// cache can serve them. The prefix is hashed onto a consistent-hash ring of the
// service's upstreams, which every router computes identically without any exchange
// between them. Loads are bounded as in V. Mirrokni, M. Thorup and M. Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", 2018: if the first upstream has more than
// its share of this router's requests, the next one on the ring is chosen. Requests
// without an affinity go to the least loaded upstream, or, in a large pool, to the less
// loaded of two random upstreams.
//
// An upstream that refuses or fails requests is ejected for a time that doubles with
// each consecutive failure. Requests for which no upstream has capacity wait in a
// priority queue until their deadline.
//
// A Table guards all state with one lock: the requests in flight and the failures of
// each upstream, as seen by this router, and the queued requests. The Table makes no
// calls; its callers provide the upstreams, the time and the results.
//
// Begin with Table.Acquire and Slot.Done. The decisions are made in
// servicePool.choose, loadLimit, ejectionTime and the order of queue.
//
// Package balance chooses instances for granitehoist-edge, where instances register
// themselves and the choice is by estimated wait. Here the configuration lists the
// upstreams, and the choice is by the requests that this router has in flight.
package route
