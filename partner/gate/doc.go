// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package gate serves the callers of the fleet over HTTP.
//
// A request goes this way: its key is looked up, its body and headers are
// read, the partners' policies are asked, an upper bound of its cost is
// reserved from the box's tokens, an upstream is chosen, a request not to be
// repeated is bound in the store, and only then the upstream gets it. The
// answer is passed on as it arrives, the reservation is settled to the use that
// the upstream reports, and one charge is entered. Every refusal has a numbered
// result code, which says whether the request ran.
//
// It runs in 'granitehoist router', which package router builds.
//
// State. A Gate owns the number of its attempts and whether it drains (atomic),
// its budget of retries (retryBudget, own lock) and the upstreams prepared for
// the documents in force (targetCache, own lock), and the evidence against requests
// that crash upstreams (suspect.Table, own lock). A request belongs to the
// goroutine that serves it; what its attempts cost (spend) passes on to one
// goroutine in the background if an upstream has to be asked.
//
// It relies on config for the documents in force, on Funds (budget.Agent) for
// tokens, on bill.Ledger for charges, on route.Table for upstreams, on
// once.Registry for requests not to be repeated, and on the protocols of package
// upstream.
//
// Begin with run.go, which takes a request from policy to charge, and read.go
// before it. The rules are functions without calls or locks: availability.go
// (are requests taken), refusals.go (Retry-After), bound.go (what a request can
// cost), retry.go (may another attempt follow), result.go (which result
// stands after several), charge.go (what is paid).
//
// Package forward has the same duty in granitehoist-edge. There the keys and the
// upstreams are the platform's, no policy is asked and no bill is written, and the
// tokens come from package escrow; here the partners' documents, policies, budgets
// and bills decide. Joining the two would change what the software does.
package gate
