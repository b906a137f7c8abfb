// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package route chooses the upstream of each attempt, for package gate in
// 'granitehoist router'.
//
// Requests with the same prefix go to the same upstream, whose prefix cache then
// serves them, without exchange between routers: the prefix of the prompt is
// hashed onto a ring of the service's upstreams, and every router computes
// the same ring. The load bound of V. Mirrokni, M. Thorup and M. Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", 2018, passes a request on to the next
// on the ring when the first has more than its part of this router's requests.
// Requests without such a prefix go to the lighter of two random upstreams.
//
// An upstream that refuses or fails is left out for a time that doubles with
// each failure. Requests for which no upstream has room wait by priority until
// their deadline.
//
// State. A Table owns, under its one lock, the requests in progress and the
// failures of each upstream, as this router sees them, and the requests that
// wait. It makes no calls: its callers pass the upstreams, the time and the
// results.
//
// Begin with Table.Acquire and Slot.Done; the rules are servicePool.choose,
// loadLimit (ring.go), ejection and the order of queue.
//
// Package balance has the same duty in granitehoist-edge. There instances announce
// themselves, and the choice is by estimated wait; here the documents list the
// upstreams, and the choice is by the requests that this router has there.
package route
