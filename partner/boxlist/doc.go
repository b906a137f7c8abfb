// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package boxlist reads the platform's list of boxes for 'granitehoist router'.
//
// The store's protocol has no call for this list, so Client gets it with a GET of
// Path at the store's address. Package partner/router uses the list to send no new
// requests to upstreams on boxes that are being decommissioned, and to stop waiting
// for routers on boxes that are no longer listed.
//
// A Client has no state besides its settings and is safe for concurrent use.
//
// Begin reading at Client.Boxes.
package boxlist
