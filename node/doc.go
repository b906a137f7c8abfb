// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package node puts the parts of a router on the users' platform together: it
// follows the configuration and the instances' announcements, serves callers,
// keeps the prepaid tokens in step with the store, answers its neighbours, and
// stops in good order. Adapter holds all that depends on the platform. The
// program granitehoist-edge runs one Node.
//
// State. A Node keeps nothing on disk; a new process reads everything again.
//
//   - The copies of the store: configCopy (the configuration in force) and
//     instanceCopy (the instances, in balance.Table). Only the goroutine of their
//     follower changes them.
//   - peers: the neighbours, by the list in the store and by their greetings,
//     under its own lock.
//   - Node.leaving, set by Stop, and Node.shedding, set by watchLink. Both are
//     atomic.
//   - The node's own entry in the store, boxes/BOX: only the router of that box
//     writes it; it has no lease.
//
// The tokens are escrow.Ledger's, the connections exchange.Pool's, the requests
// in progress forward.Forwarder's; each guards its own state.
//
// Rules. Each decision stands in a file of its own, as a function or small type
// without calls and locks, with its constants and their reasons:
//
//   - readiness.go: may the balancer send callers here;
//   - overload.go: does this box shed callers, because its link is nearly full;
//   - stopplan.go: what a stop does until when;
//   - relays.go, writer.go, lenders.go: which nodes read from the store for the
//     others, which writes the record of the budgets, which are asked for loans;
//   - neighbours.go, listfreshness.go, listschedule.go: which neighbours count,
//     whose list is relied on, when it is read again;
//   - instancerules.go: when an instance is taken to be removed.
//
// It relies on forward, balance, escrow, exchange, catalog and follow for what
// they do, on fleet for calls between nodes, and on internal/httpserver.
//
// Begin reading at New and Start in node.go; then Stop in stop.go.
package node
