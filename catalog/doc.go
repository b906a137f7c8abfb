// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package catalog holds the active configuration of a router: routes by host and path, the
// services behind them, and the keys and prepaid budgets of workspaces.
//
// granitehoist-edge uses it: package platform decodes the operators' file into a Document,
// package node builds a Snapshot from the Document and offers the Snapshot to a Current, and
// package forward reads the Current for each request.
//
// A Snapshot is immutable, so that a request sees the same configuration from beginning to
// end. A Current holds the Snapshot with the newest version, as numbered by the platform's
// store, and never returns to an older one. Nothing is kept on disk: after a start, a
// router has no configuration until the store or a neighbour sends one.
//
// Begin reading at Snapshot.Match and Current.Offer.
package catalog
