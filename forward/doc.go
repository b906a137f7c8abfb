// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package forward takes a request from its caller to an upstream and the answer
// back. The edge router (granitehoist-edge) runs it. The partner router serves
// a different interface to its callers, in package partner/gate.
//
// A request goes through these steps: identify (its route, workspace, service
// and deadline), reserve (the most tokens that it can cost), pick (an instance of
// the service), attempt, answer. Frontends translate their callers' protocol
// into a Request and a granitehoist.Sink; a Codec writes the header that
// upstreams get and reads the heads of their answers. Neither decides anything.
//
// Each attempt has a fate: it did not run, may have run, or ran. The caller gets an
// error that says "not run" only if no attempt of its request ran or may have run.
//
// # Rules
//
// Each rule is a function that makes no call and takes no lock, in a file of its
// own:
//
//   - timeout.go: how long a request may take.
//   - identify.go: by which route, for whom and at which service it is served.
//   - reserve.go: how many tokens it reserves, and how long it waits for them.
//   - refusal.go: the code and the Retry-After of each refusal.
//   - stalllimits.go: how long an attempt may make no progress.
//   - judge.go: what the head of an answer means, and what an attempt says of its
//     instance.
//   - retry.go: whether another attempt follows, and which error the caller gets.
//   - settle.go: how many tokens a request is charged.
//   - suspicion.go: which attempts are evidence for or against their request. Package
//     suspect decides when the request is refused.
//
// Package balance decides which instance gets an attempt, package escrow whether a
// workspace's tokens are granted, and package internal/retrybudget whether the
// router may retry at all; the constants for the latter are in retrybudget.go here.
//
// # State
//
// A Forwarder owns the number of requests in progress and whether it was stopped
// (both atomic), and a retry budget for each service (behind a lock). Each
// request has an activeRequest, which only the goroutine that called Forwarder.Serve
// uses. A Forwarder relies on the configuration in force (catalog), the tokens of
// this box (Funds), the table of instances (balance) and the connections to
// upstreams (exchange), each with locks of its own. It holds no lock while it
// calls them.
//
// Begin reading at activeRequest.run in active.go, then activeRequest.forward. To
// find out why a caller got an error, look up its code in refusal.go if no attempt
// was made, and otherwise read attempt.go and retry.go.
package forward
