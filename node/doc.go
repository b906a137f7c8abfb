// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package node puts the parts of a router on the users' platform together: it
// follows the configuration and the instances' announcements, serves callers,
// keeps the prepaid tokens in step with the store, answers its neighbours, and
// stops gracefully. Adapter holds all that depends on the platform. The
// program granitehoist-edge runs one Node.
//
// State. A Node keeps nothing on disk; a new process reads everything again.
//
//   - The copies of the store: configCopy (the configuration in force) and
//     instanceCopy (the instances, in balance.Table). Only the goroutine of their
//     follower changes them.
//   - suspects: what each neighbour has acknowledged of the crashes that this node saw
//     under requests, under its own lock; the evidence itself is in a suspect.Table.
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
// Rules. Each decision is a function or small type without calls and locks. It
// stands with its constants and their reasons in the file of its subject:
//
//   - readiness.go: whether the balancer may send callers here;
//   - shedding.go: whether this box sheds callers, since its link is nearly full;
//   - stop.go: the phases of a stop and when each ends;
//   - relays.go: which nodes read from the store for the others;
//   - budgetroles.go: which node holds the tokens of a shard for all, and which are
//     asked for loans;
//   - nodelist.go: whose list of nodes is relied on, and when it is read again;
//   - neighbours.go: which neighbours count, and by which entry;
//   - instancecopy.go: when an instance counts as removed;
//   - suspects.go: when this node pulls evidence against requests from
//     neighbours, and when it counts itself as cut off from them;
//   - permits.go: which node issues the permits for an upstream that names a limit, and
//     which one stands in; limits.go tells all nodes of such a limit;
//   - push.go: when what this node observed is sent to which neighbour again.
//
// It relies on forward, balance, escrow, exchange, catalog and follow for what
// they do, on fleet for calls between nodes, and on internal/httpserver.
//
// Begin reading at New and Start in node.go; then Stop in stop.go. For a line
// of the log, look up its event in internal/event and search for that constant.
package node
