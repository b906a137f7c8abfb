// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package config holds the operators' documents: the workspaces, keys,
// budgets, policies, services and upstreams of one partner.
//
// A document is written in TOML, signed by its partner with Ed25519 and kept
// in the platform's store, under one key for each partner. Every router checks
// the signature against the partner's public keys in its own settings, so neither
// the other partner nor a router can change it. A View is the documents of all
// partners at the versions that a router has in force; a router replaces its
// view only by newer versions.
//
// State: the store has the signed documents; Apply writes them by
// compare-and-swap. A Follower has the router's View behind an atomic pointer,
// which only its own goroutine replaces; it follows the keys with package follow.
// A View and a Document never change once they are made.
//
// It relies on the store, on internal/tomlfile to read TOML, and on package
// policy to compile policies. What belongs to one box is in package settings.
//
// 'granitehoist router' runs it, and 'granitehoist check' and 'granitehoist apply'
// run Parse. The edge router has package catalog instead: its platform's operators
// write one unsigned configuration for the whole fleet, so that there is neither
// a serial nor a signature, and the store's version says what is newer.
//
// Begin reading at Document and Parse, then Trust.verify, Apply, Follower and View.
package config
