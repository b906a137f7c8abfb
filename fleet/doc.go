// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package fleet connects the routers: who is there, which of them acts for a
// shard or region, and how they call each other.
//
// Calls are JSON-RPC 2.0 over TCP with the library jsonrpc2. A router enters
// itself in the platform's store under a lease; the others read the list.
// Roles follow from the view by rendezvous hashing. Two routers whose views
// differ may both act in a role; every role is built so that this costs
// efficiency only.
package fleet
