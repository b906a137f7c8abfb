// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package escrow keeps prepaid tokens from being spent twice by routers that
// share nothing but the platform's store. The edge router (granitehoist-edge) runs
// it, one Ledger and one Syncer a process.
//
// # How it is safe
//
// A Record in the store holds, for each workspace and incarnation of a router,
// the tokens that were ever granted to it and that it ever returned. A router
// owns what its row grants and others lent it, less what it returned, lent and
// spent, and spends nothing else. A request reserves the most that it can cost before
// it is sent to an upstream, and is settled to its use.
//
// Rows only grow and each has one writer, so a write whose answer is lost needs
// no repair: the next read shows whether it took effect, and a write that the
// store performs later still has the version as its condition. What a router
// owned when it died is never granted again: how much it had spent can't be
// known. Grants are therefore a few seconds of the demand, and shrink with what
// is left of the budget. Loans between routers are totals that only grow, so that
// messages may be lost, doubled or late.
//
// # Who holds tokens
//
// In a small fleet every router takes tokens from one record for its own requests
// (Shares), and routers lend to each other while the store is away. In a large one
// each shard of the workspaces has a record of its own and one router that takes
// tokens from it and lends them (Holds); the others borrow for each request (Asks).
// Role says what a router does for a shard; nothing that is safe depends on it. See
// docs/design/budgets-at-scale.md for the ways that were weighed.
//
// # State
//
// Ledger.mu guards all that this router owns and knows of budgets: one account a
// workspace, and the contact with the store. An account consists of
//
//   - owned, the only part that decides what may be spent; it states the
//     conservation rule;
//   - fleetView, what the record and lenders last said, with the time;
//   - demand, the rates and sizes of requests;
//   - ration, what may be spent of the last part of the budget.
//
// No call is made while Ledger.mu is held. recordCopy.mu is held during a sync of
// that record, calls included. A sync takes Ledger.mu while it holds recordCopy.mu,
// never the other way around.
//
// # What it relies on
//
// The store's compare-and-swap on one key (granitehoist.Store), a clock that
// runs at about the right rate, and a Caller that reaches neighbours. A wrong
// clock makes holdings too large or too small but never overspends. Prepaid
// totals come from the configuration by Ledger.SetLimit, and the number of routers
// and the neighbours from the fleet.
//
// # Where to begin reading
//
// Read owned.go, then ledger.go (reserve and settle), plan.go (what a sync grants
// and returns), sync.go and recordcopy.go (how it is written), run.go and round.go
// (when), ask.go (how a router of a large fleet borrows). The rules
// are functions of their inputs and the time, in files with the reasons for their
// numbers:
//
//   - what is admitted: admit.go, budgetend.go, wait.go;
//   - where tokens are placed: role.go, shard.go, target.go, exposure.go, refill.go,
//     packet.go, surplus.go, loansize.go, shortage.go, due.go;
//   - what is known of the store and other routers: contact.go, fleetview.go;
//   - what the syncer does: round.go, storefailures.go.
//
// # When requests are refused for tokens
//
// The request's log line has the outcome as budget=; outcome.go says what each
// means and which rule gave it, docs/OPERATIONS.md what to do. The fields free,
// rest, rest_age and silent of the line are those of Answer: what is free here, what
// the store had left and how old that is, and for how long the store has been
// silent. The lines of budget_grant and budget_loan show which tokens came.
package escrow
