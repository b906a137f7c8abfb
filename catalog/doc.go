// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package catalog holds the configuration that is in force on a router: routes by
// host and path, the services that they lead to, the keys of the workspaces and
// what each workspace has prepaid.
//
// The edge router granitehoist-edge runs it: package platform decodes the
// operators' file to a Document, package node builds a Snapshot of it and offers it
// to the Current, package forward reads the Current for each request.
//
// A Snapshot is built once and never changes, so that a request which holds one
// sees the same configuration to its end. A Current owns the pointer to the newest;
// it needs no lock and never returns to an older version. Nothing is stored on disk:
// a router that starts has no configuration until the store or a neighbour sends
// one. The package relies on the store's versions for the order.
//
// Begin reading at Snapshot.Match and Current.Offer.
package catalog
