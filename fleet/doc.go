// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package fleet provides remote calls between routers, their membership list and the
// assignment of roles to them.
//
// Calls (Client, Server) are JSON-RPC 2.0 over TCP. Each call names the incarnation that it
// is addressed to; a router that has taken over the address rejects it with
// ErrOtherIncarnation. Both granitehoist-edge and 'granitehoist router' use calls.
//
// Membership (Registry, View) is used by 'granitehoist router' only. Each router writes
// its entry to the store under a lease and reads the entries of all routers. Roles are
// assigned by rendezvous hashing over the View. Two routers with different views may both
// act in a role. The role must be safe in this case, though it may be less efficient.
//
// # Membership of granitehoist-edge
//
// Package node of granitehoist-edge does not use Registry. Its routers write their address
// once, without a lease, under the key of their box:
//
//   - Lease renewals cost writes in proportion to the size of the fleet.
//   - The roles of a dead router in a Registry must move to another router, so the entry of
//     the dead router has to expire. Package node assigns no roles by its list: it skips a
//     neighbour that does not respond, and the entry is replaced when the box restarts.
//   - In large fleets only relays read the list of package node from the store, and
//     neighbours update each other while the store is unavailable. Registry always reads
//     its list from the store.
//
// Registry also fails on an entry that it cannot decode, while package node logs and skips
// such an entry. Both packages write under "boxes/" in different formats, so the two
// programs must not share a store.
//
// # State
//
// Registry holds the router's own entry, its lease and the last view. Only the router itself
// writes its two entries in the store, but another router may delete the entry under
// ServingPrefix with DeregisterServing. Client and Server hold their connections. All three
// are safe for concurrent use. A View is immutable.
//
// The package uses granitehoist.Store and package store. It has no timers: the caller calls
// Refresh every Interval, and the store expires leases.
//
// Begin reading at Client.Call and Server.handle, then at Registry.Refresh.
package fleet
