// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package balance chooses the upstream of each attempt among the instances that
// have announced themselves.
//
// The choice is the instance with the least estimated wait: the prompts that
// this router has sent there and that are still to be read, the requests in
// progress, and what of the request's own prompt is not in the instance's
// cache. Requests with a common beginning have the same home instance on every
// router, by rendezvous hashing, without exchange; the home is passed over when
// its queue outweighs what the cache saves.
//
// An instance that fails more than others is weighed down, and left out for a
// time that doubles with each failure in a row.
package balance
