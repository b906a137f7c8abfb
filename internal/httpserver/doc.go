// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package httpserver runs an HTTP server on a listener that is already open.
//
// A Server owns its listener and the connections that it accepted. It keeps no
// other state, relies on net/http alone, and is safe for concurrent use. It is
// run by both routers (packages node and partner/router) and by the stand-ins of
// command granitehoist. The two routers drain differently: node keeps its
// listeners open and refuses what arrives until its requests have ended, then
// calls Close; partner/router calls Shutdown, which closes the listener first.
//
// Begin reading at New.
package httpserver
