// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package catalog holds the configuration that is in force on a router: routes
// by host and path, the services that they lead to, the keys of the workspaces
// and what each workspace has prepaid.
//
// A Snapshot is built once from a configuration and never changes. A Current
// holds the newest one; it never goes back to an older version.
package catalog
