// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package granitehoist holds the names that every part of the router fleet
// shares: the identifiers, the units, the numbered result codes and the
// interfaces behind which implementations differ.
//
// A box is a machine that runs one router, a region is a set of availability
// zones, a workspace is a customer of one of the partners
// and an upstream is a back end: a model engine or a plain service. Every
// other term is the usual one of the field; docs/GLOSSARY.md maps them.
//
// The packages below this one each own one duty, with their state, messages
// and tests: budget (who may spend which tokens), bill (charges), once
// (requests not to be repeated), policy (CEL programs), route (choice of an
// upstream), upstream (the protocols of engines and plain services), config
// (the operators' documents), fleet (membership and calls between routers),
// gate (the callers' surface), store (the platform's key-value service),
// settings (the TOML file of a box), router (the daemon made of these),
// standin (small stand-ins of the outside systems) and measure (experiments).
package granitehoist
