// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package config handles the configuration documents of partners: workspaces, keys,
// budgets, policies, services and upstreams.
//
// A document is written in TOML, signed by its partner with Ed25519 and kept in the
// platform's store, one per partner. Every router verifies the signature against the
// public keys in its own settings, so neither another partner nor a compromised router
// can alter a document. A View is an index of the documents that a router has in force;
// only documents with a higher serial replace them.
//
// Apply writes documents to the store by compare-and-swap. A Follower watches the store
// and keeps the current View behind an atomic pointer, which only the goroutine of its
// Run replaces. Views and Documents are immutable once built.
//
// The package uses internal/tomlfile to decode TOML and package policy to compile
// policies. The settings of a single box are in package settings.
//
// 'granitehoist router' uses all of it, 'granitehoist check' and 'granitehoist apply'
// use Parse. granitehoist-edge uses package catalog instead, with one unsigned
// configuration for the fleet that is ordered by the store's version.
//
// Begin reading at Document and Parse, then Trust.verify, Apply, Follower and View.
package config
