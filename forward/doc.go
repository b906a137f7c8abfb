// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package forward is the reverse proxy of the edge router (granitehoist-edge): it sends a
// request to an upstream, retries it where that is safe, and relays the response. The
// partner router has its own implementation in package partner/gate.
//
// A Forwarder takes a Request through these steps: identify (route, workspace, service and
// deadline), reserve (the maximum cost in tokens), pick (an instance of the service),
// attempt, relay. Frontends translate the protocol of their callers into a Request and a
// granitehoist.Sink. A Codec writes the header that upstreams receive and reads the heads
// of their responses.
//
// An attempt ran, may have run, or did not run (granitehoist.ExecutionStatus). The caller
// gets an error that means "not run" only if no attempt of its request ran or may have run.
//
// # Decisions
//
// Most decisions are pure functions, in separate files:
//
//   - timeout.go: the timeout of a request.
//   - identify.go: its route, workspace and service.
//   - reserve.go: how many tokens it reserves, and how long it waits for them.
//   - refusal.go: the code and the Retry-After of each refusal.
//   - stalllimits.go: how long an attempt may make no progress.
//   - classify.go: what the head of a response means, and the result of an attempt that is
//     reported to the balancer.
//   - retry.go: whether another attempt follows, and which error the caller gets.
//   - settle.go: how many tokens a request is charged.
//
// origins.go keeps a stream at the release that began it, with the records of package
// origin. suspects.go records which requests crash instances; package suspect decides when such a
// request is refused. Package balance selects the instance of an attempt, package escrow
// grants the tokens of a workspace, and package internal/retrybudget limits the retries,
// with the settings in retrybudget.go.
//
// # State
//
// A Forwarder owns the number of requests in progress and the stopped flag (both atomic),
// and a retry budget for each service (guarded by a mutex). Each request has an
// activeRequest, which only the goroutine that called Forwarder.Serve uses. The
// configuration (catalog), the token budgets (Budgets), the table of instances (balance)
// and the connections (exchange) have locks of their own. A Forwarder holds no lock while
// it calls them.
//
// Begin reading at activeRequest.run in active.go, then activeRequest.forward. The codes of
// refused requests are in refusal.go; the errors of attempts are in classify.go and
// retry.go.
package forward
