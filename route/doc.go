// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package route chooses the upstream of each attempt.
//
// Requests that begin alike go to the same upstream, whose prefix cache then
// serves them, without exchange between routers: the beginning of the prompt
// is hashed onto the service's upstreams by rendezvous hashing, and every
// router computes the same order. The load bound of consistent hashing with
// bounded loads (V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent
// Hashing with Bounded Loads", 2018) passes a request on to the next in order
// when the first has more than its part of this router's requests.
//
// An upstream that refuses or fails is left out for a time that doubles with
// each failure. Requests for which no upstream has room wait by priority until
// their deadline.
package route
