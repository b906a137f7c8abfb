// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package route chooses the upstream of each attempt.
//
// Requests that begin alike go to the same upstream, whose prefix cache then
// serves them, without exchange between routers: the beginning of the prompt
// is hashed onto a ring of the service's upstreams, and every router computes
// the same ring. The load bound of V. Mirrokni, M. Thorup and M. Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", 2018, passes a request on to the next
// on the ring when the first has more than its part of this router's requests.
// Requests without such a beginning go to the lighter of two random upstreams.
//
// An upstream that refuses or fails is left out for a time that doubles with
// each failure. Requests for which no upstream has room wait by priority until
// their deadline.
package route
