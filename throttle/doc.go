// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package throttle enforces a rate limit that an upstream sets for all routers together.
//
// An overloaded upstream states the limit in its responses. A router does not see the
// requests of other routers, so one router issues permits for the upstream, and every
// router needs a permit for each request that it sends to the upstream. Package node
// selects the issuer by rendezvous hashing and transports permit requests; package
// balance holds permits until they are used or expire.
//
// An Issuer implements the generic cell rate algorithm (ITU-T I.371, virtual scheduling):
// it tracks when the next permit of each upstream is due and may reserve permits a short
// time ahead. It makes no calls, persists nothing and drops the state of idle upstreams.
// An issuer that has just started, and a fallback for an unreachable issuer, issue at a
// reduced rate because the permits of two active issuers add up.
//
// Start reading at Issuer.Issue.
package throttle
