// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package router assembles the partner packages into the program 'granitehoist router':
// it follows the documents, joins the fleet, serves callers, other routers and
// operators, and drains before it stops.
//
// A Router owns its listeners and servers (servers.go), its entry in the fleet and the
// background goroutines that New and Start run. Other state belongs to its components, each
// with its own lock: the documents in force to config.Follower, the fleet view to
// fleet.Registry, tokens to budget.Agent and charges to bill.Ledger. Only what these
// components write to the platform's store survives a restart.
//
// It gets the settings of the box from package settings and reaches the platform through
// granitehoist.Store and granitehoist.Platform.
//
// Begin reading at New and Start, then build.go for how components are connected and
// stop.go for the order of a planned stop. Decisions are in pure functions:
// servingEvidence.mayServe (can a router still be serving), newDocumentState (is a
// document accepted) and leavingUpstreams.
//
// Package node is the counterpart in granitehoist-edge. Membership differs. In
// granitehoist-edge a box registers its address once, without a lease, and in fleets of 16
// boxes or more only relays list the boxes. In this package each router renews a lease and
// lists the routers through fleet.Registry (docs/design/fleet.md).
package router
