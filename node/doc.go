// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package node assembles the router that the program granitehoist-edge runs. A Node
// follows the configuration and the upstreams' announcements in the store, serves
// callers, keeps the prepaid token budgets in step with the store, serves the calls of the
// other routers of the fleet (its neighbours) and stops gracefully. Adapter holds
// everything that depends on the platform.
//
// # State
//
// A Node keeps nothing on disk; a new process reads everything again.
//
//   - configCopy and instanceCopy follow the store: the configuration, and the instances
//     of the upstreams in balance.Table. Only the goroutine of their follower changes them.
//   - peers holds the neighbours, from the list in the store and from their greetings.
//   - suspects exchanges evidence against requests that crash upstreams; the evidence
//     itself is in a suspect.Table.
//   - origins keeps where streams began, with records at several nodes; releaseRegistry
//     registers releases in the store, so that streams may begin there.
//   - upstreamSignals shares what upstreams say of themselves: rate limits, that they
//     leave, and requests to back off.
//   - detours knows the neighbours that open tunnels to upstreams, as of their responses in
//     the last seconds; tunnels opens them for neighbours.
//   - rateLimits fetches and issues the permits for upstreams with a rate limit.
//   - Node.stopping is set by Stop, Node.shedding by watchLink. Both are atomic.
//   - The node's entry in the store, boxes/BOX, is written only by the router of that box
//     and has no lease.
//
// Tokens are held by escrow.Ledger, connections by exchange.Pool and requests in progress
// by forward.Forwarder; each guards its own state.
//
// # Decisions
//
// Each decision is a function or a small type without calls or locks, next to the
// constants that it uses:
//
//   - readiness.go: whether the load balancer may send callers to this node;
//   - shedding.go: whether the box sheds callers because its link is nearly full;
//   - stop.go: the phases of a stop and when each ends;
//   - relays.go: which nodes read the store on behalf of the others;
//   - budgetroles.go: which node holds the tokens of a shard, and which nodes lend;
//   - nodelist.go: whose node list is trusted, and when it is read again;
//   - neighbours.go: which neighbours are known, and by which entry;
//   - instancecopy.go: when an instance counts as removed;
//   - suspects.go: when evidence is pulled from neighbours, and when it is read from the
//     store again;
//   - permits.go: which node issues the permits of an upstream, and which one replaces it;
//   - push.go: when observations are sent to which neighbour, and when again.
//
// Begin reading at New and Start in node.go, then Stop in stop.go. To find the code behind
// a log line, look up its event in internal/event and search for that constant.
package node
