// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package fleet connects the routers: how they call each other, which of them
// are live, and which of them acts in a role.
//
// Calls (Client, Server) are JSON-RPC 2.0 over TCP with the library jsonrpc2.
// Each call names the incarnation that it is for; a router that took over the
// address refuses it with ErrOtherIncarnation. Both programs use them.
//
// Membership (Registry, View) is run by 'granitehoist router' alone. A router
// enters itself in the store under a lease; the others read the list. Roles
// follow from the View by rendezvous hashing. Two routers whose views differ may
// both act in a role; every role is built so that this costs efficiency only.
//
// # Why node has a membership of its own
//
// granitehoist-edge (package node) does not use Registry. Its routers enter
// their address once, without a lease, under the key of their box:
//
//   - Leases cost writes that grow with the fleet: 220 a second at 1,100
//     routers (docs/CAPACITY.md). An entry without one costs one write a start.
//   - Registry's roles must not stay with a dead router, so its entry has to end
//     by itself. A node has no such roles: it skips a neighbour that does not
//     answer, and the neighbour's entry is replaced when its box starts again.
//   - In large fleets only relays read node's list, and neighbours correct it by
//     greetings while the store does not answer. Registry knows the store's list
//     only.
//
// Both read a list from the store, write on a condition and delete on a condition,
// but they handle errors differently: Registry fails on an entry that can't be
// read, node logs it and goes on. So they share only the calls between routers. Both write under "boxes/", in different forms: the two programs must
// not share a store.
//
// # State
//
// Registry holds the router's own entry, its lease and the last view under its
// own lock. In the store only this router writes its two entries, except that
// Withdraw may delete the entry of another one. Client and Server hold their connections, each under its own lock.
// All three are safe for concurrent use. A View is a value that does not change.
//
// The package relies on granitehoist.Store and package store for the list. It has
// no timers: the caller calls Refresh each Interval, and the store ends leases.
//
// Begin reading at Client.Call and Server.handle, then at Registry.Refresh.
package fleet
