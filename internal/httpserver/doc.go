// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package httpserver runs an HTTP server on a listener that is already open.
//
// A Server owns its listener and the connections that it accepted. It keeps no
// other state, relies on net/http alone, and is safe for concurrent use. It is
// run by granitehoist-edge (package node). How a program drains at a stop is not
// part of it, since the two programs differ there: node keeps its listeners open
// and refuses new requests until those in progress have ended, partner/router
// closes its listeners first.
//
// Begin reading at New.
package httpserver
