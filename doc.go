// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package granitehoist defines what all parts of the router fleet share: identifiers,
// units, numbered result codes, and interfaces that several packages implement.
//
// A box is a machine that runs one router, a region is a set of availability zones, a
// workspace is a customer with its budget and keys, and an upstream is a server that runs
// requests: a model engine or a plain service. docs/GLOSSARY.md lists the other terms of
// the project.
//
// Two programs are built from this module.
//
// The command granitehoist-edge is the edge router. Begin reading at node, which assembles
// the parts, then follow a request through forward (its path), catalog (the current
// configuration), escrow (prepaid tokens), origin (which release began a stream), balance
// (choice of an upstream) and exchange (connections to upstreams). Package platform
// translates the platform's protocol and makes no decisions.
//
// The command granitehoist runs the partners' router, which has its own interface for
// callers, and the tools. Its packages are below partner: router (the daemon), gate (the
// path of a request), config (signed documents), policy (CEL programs), budget (prepaid
// tokens), bill (charges), once (at-most-once requests), route (choice of an upstream),
// upstream (protocols of engines and services), orphan (charges of failed routers), report
// (service levels), settings (the TOML file) and boxlist (the platform's list of boxes).
//
// Both use follow (copies of the store's keys), fleet (membership and calls between
// routers), store (writes whose response may be lost), the store's client in platform and
// the packages below internal. Packages standin, trial, measure, soak and explain are
// tools: fakes of external systems, an end-to-end test, benchmarks, fault-injection tests
// and a log reader.
//
// The package has no state and is safe for concurrent use.
package granitehoist
