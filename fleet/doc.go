// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package fleet provides remote calls between routers, their membership list and the
// assignment of roles to them.
//
// Calls (Client, Server) are JSON-RPC 2.0 over TCP. Each call names the incarnation that it
// is addressed to; a router that has taken over the address rejects it with
// ErrOtherIncarnation. Both granitehoist-edge and 'granitehoist router' use calls.
//
// Membership (Registry, View) is used by 'granitehoist router' only. A router writes its
// entry to the store under a lease, and the others read the list. Roles are assigned by
// rendezvous hashing over the View. Two routers with different views may both act in a role.
// This must be safe; it may only cost efficiency.
//
// # Membership of granitehoist-edge
//
// Package node of granitehoist-edge does not use Registry. Its routers write their address
// once, without a lease, under the key of their box:
//
//   - Lease renewals cost writes in proportion to the size of the fleet.
//   - The roles of a dead router in a Registry must move to another one, so its entry has
//     to expire. Package node assigns no roles by this list: it skips a neighbour that does
//     not respond, and the entry is replaced when the box restarts.
//   - In large fleets only relays read node's list, and neighbours update each other while
//     the store is unavailable. Registry uses the list in the store only.
//
// Registry also fails on an entry that it cannot decode, while node logs and skips it. Both
// write under "boxes/" in different formats, so the two programs must not share a store.
//
// # State
//
// Registry holds the router's own entry, its lease and the last view. In the store only this
// router writes its two entries, except that another router may delete the one under
// ServingPrefix with DeregisterServing. Client and Server hold their connections. All three
// are safe for concurrent use. A View is immutable.
//
// The package uses granitehoist.Store and package store. It has no timers: the caller calls
// Refresh every Interval, and the store expires leases.
//
// Begin reading at Client.Call and Server.handle, then at Registry.Refresh.
package fleet
