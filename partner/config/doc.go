// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package config holds the operators' documents: the workspaces, keys,
// budgets, policies, services and upstreams of one partner.
//
// A document is written in TOML, signed by its partner with Ed25519 and kept
// in the platform's store under one key a partner. Every router checks the
// signature against the partner's public keys in its own settings, so neither
// the other partner nor a router can change it. A View is the documents of all
// partners at the versions that a router has in force; a router replaces its
// view only by newer versions.
//
// Follower keeps the View of 'granitehoist router'. It owns that View, which only
// the goroutine of Run replaces and any goroutine may read, and relies on package
// follow for the keys. granitehoist-edge has another configuration, in package
// catalog. Begin reading at Follower for what a router does, and at Document for
// what operators write.
package config
