// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package granitehoist holds the names that every part of the router fleet
// shares: the identifiers, the units, the numbered result codes and the
// interfaces that several packages implement.
//
// A box is a machine that runs one router, a region is a set of availability
// zones, a workspace is a customer of one of the partners and an upstream is a
// server that runs requests: a model engine or a plain service. Every other term is the usual
// one of the field; docs/GLOSSARY.md lists the project's own.
//
// Two programs are built from this module.
//
// The command granitehoist-edge is the router that runs on the users'
// machines. Begin reading at node (puts the parts together), then follow a
// request through forward (its path), catalog (the configuration in force),
// escrow (prepaid tokens), balance (choice of an upstream) and exchange
// (connections to upstreams). Package platform translates the users' protocols
// and decides nothing.
//
// The command granitehoist runs the partners' router, which has its own
// callers' interface, and the tools. Its packages are below partner: router
// (the daemon), gate (the path of a request), config (signed documents), policy
// (CEL programs), budget (prepaid tokens), bill (charges), once (requests not
// to be repeated), route (choice of an upstream), upstream (protocols of
// engines and services), orphan (charges of dead routers), report (service
// levels), settings (the TOML file) and boxlist (the platform's list of boxes).
//
// Both use follow (copies of the store's keys), fleet (membership and calls
// between routers), store (writes whose answer may be lost), the store's client
// in platform and the packages below internal. The packages standin,
// trial, measure, soak and explain are tools: stand-ins of outside systems, a
// trial that judges itself, measurements, a fault soak and a reader of logs.
//
// The package holds no state and is safe for concurrent use.
package granitehoist
