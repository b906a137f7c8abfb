// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package router makes a router of the other partner packages: it reads the
// documents, joins the fleet, serves callers, other routers and operators, and
// stops without cutting a request. It is the program 'granitehoist router'.
//
// State. A Router owns its listeners and servers (servers.go), its entry in the
// fleet and the loops that Start begins. The documents in force belong to
// config.Follower, the view of the fleet to fleet.Registry, tokens to
// budget.Agent and charges to bill.Ledger; each has its own lock. The router
// itself needs none: what it holds is set by New and Start. Nothing survives a
// restart but what these parts have in the platform's store.
//
// It relies on package settings for the file of the box, on granitehoist.Store
// and granitehoist.Platform, and on the partner packages that build.go connects.
//
// Begin with New and Start, then build.go for what is connected to what, and
// stop.go for the order of a planned stop. Rules: servingEvidence.mayServe (which
// routers may still serve), newDocumentState (is a document accepted) and
// leavingUpstreams.
//
// Package node has the same duty in granitehoist-edge. There a box enters its
// address once, without a lease, and from 16 boxes on only relays list the others;
// here fleet.Registry of each router renews a lease and lists the others
// (docs/design/fleet.md).
package router
