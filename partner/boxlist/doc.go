// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package boxlist reads the platform's list of boxes for 'granitehoist router'.
//
// The list is the only call of that router that the protocol of the platform's
// store does not have, so it has a client of its own: one GET of Path at the
// store's address. Package partner/router uses the answer twice: it sends no new
// requests to upstreams whose box is leaving, and it stops waiting for a router
// whose box is no longer listed.
//
// A Client holds its settings only and is safe for concurrent use. It relies on
// the HTTP client that it is given. Begin reading at Client.Boxes.
package boxlist
