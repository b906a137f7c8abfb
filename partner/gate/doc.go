// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package gate serves the HTTP API of 'granitehoist router' to callers.
//
// A request is handled in these steps: look up its key, read its headers and body,
// evaluate the partners' policies, reserve its maximum cost from the tokens of the box,
// choose an upstream, bind a request that is not to be repeated in the store, and send it.
// The response is forwarded as it arrives. Then the reservation is settled to the usage
// that the upstream reports, and one charge is recorded. Each refusal has a numbered
// result code, which says whether the request ran.
//
// A Gate owns the counter of its attempts and the readiness flags (atomics), the retry
// budget (retrybudget.Budget), the route targets of the documents in force (targetCache)
// and the record of requests that crashed upstreams (suspect.Table). The retry budget,
// targetCache and suspect.Table do their own locking. A request belongs to the goroutine
// that serves it. Its costTracker passes to a background goroutine if an upstream has to
// be queried for the cost.
//
// The package uses config for the documents in force, Budgets (budget.Agent) for tokens,
// bill.Ledger for charges, route.Table for upstreams, once.Registry for requests that
// are not to be repeated, and the protocols of package partner/upstream.
//
// Begin reading at run.go, which processes a request from policy to charge, and read.go,
// which reads it. The decisions are functions without I/O or locks: availability.go
// (whether requests are accepted), refusals.go (Retry-After), maxcost.go (maximum
// cost), retry.go (whether to retry), result.go (the result of several attempts) and
// charge.go (settlement and charging).
//
// Package forward does the same in granitehoist-edge with other inputs: keys and
// upstreams come from the platform, tokens from package escrow, and there are no
// policies or bills.
package gate
