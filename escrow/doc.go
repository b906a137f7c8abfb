// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package escrow keeps prepaid tokens from being spent twice by routers whose only
// shared state is the platform's store. The edge router (granitehoist-edge) runs one
// Ledger and one Syncer per process.
//
// # Safety
//
// A Record in the store has one Row for each workspace and incarnation of a router: the
// tokens granted to it and returned by it so far. A router owns what its row grants and
// what others lent it, less what it returned, lent and spent, and spends nothing else. A
// request reserves its maximum cost before it is sent to an upstream and is settled to
// its actual use.
//
// Rows only grow and each has one writer, so a write whose response is lost needs no
// repair: the next read shows whether it took effect, and a write that the store applies
// late is still conditional on the version. Of the tokens that a router owned when it
// crashed, its successor on the box grants again what the router had bound itself not to
// use by then (UseBound), if the machine has not booted since; the others are never granted
// again. Grants therefore cover only a few seconds of demand and shrink with the remaining
// budget.
// Loans between routers are cumulative totals, so messages may be lost, duplicated or
// delayed.
//
// # Roles
//
// In a small fleet every router takes tokens from one record for its own requests
// (RoleDirect), and routers lend to each other while the store is unresponsive. In a large
// fleet each shard of the workspaces has its own record and one holder, which takes
// tokens from the record and lends them (RoleHolder); the other routers are borrowers and
// borrow for each request (RoleBorrower), over several regions through a router of their own
// region that borrows in batches (RoleSubHolder). Safety does not depend on roles.
//
// # State
//
// Ledger.mu guards all that this router owns and knows of budgets: one account per
// workspace, and the health of the store. An account consists of
//
//   - owned, the only part that decides what may be spent; it states the conservation
//     rule;
//   - fleetView, the last reports of the record and of lenders, with their times;
//   - demand, the rates and maximum costs of requests;
//   - ration, the spending limit for the last part of the budget.
//
// No call is made while Ledger.mu is held. recordCopy.mu is held during a sync of that
// record, calls included. Lock order: recordCopy.mu before Ledger.mu.
//
// # Dependencies
//
// The store must provide compare-and-swap (granitehoist.Store), the clock must run at
// about the right rate, and Caller must reach neighbours. A wrong clock makes holdings
// too large or too small but never causes overspending. Prepaid totals come from the
// configuration by Ledger.SetLimit, the number of routers and the neighbours from the
// fleet.
//
// # Where to begin reading
//
// Read owned.go, then ledger.go (reserve and settle), pendingrows.go (what a sync grants
// and returns), sync.go and recordcopy.go (how it is written), run.go and round.go (when),
// and ask.go (how a borrower of a large fleet gets tokens). The policies are functions
// of their inputs and the time:
//
//   - admission: admit.go, lowbudget.go, wait.go;
//   - placement of tokens: role.go, shard.go, target.go, postoutage.go, grant.go, batch.go,
//     surplus.go, loansize.go, loanrequest.go, syncneeded.go, usebound.go;
//   - state of the store and of other routers: storehealth.go, fleetview.go;
//   - control of the syncer: round.go, storeretry.go.
//
// # Diagnosing refused requests
//
// The request's log line has the outcome as budget=; outcome.go says what each outcome
// means and which rule gives it. The fields free, rest, rest_age and silent of the line
// are those of Answer: the free tokens of this router, the tokens remaining in the store,
// the age of that report, and for how long the store has been unresponsive. The lines of
// budget_grant and budget_loan show which tokens arrived.
package escrow
