// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package httpserver runs an HTTP server on a listener that is already open.
//
// A Server owns its listener and the accepted connections, and is safe for concurrent
// use. Both routers (packages node and partner/router) and the stand-ins of command
// granitehoist run it. The routers drain differently: node keeps its listeners open and
// refuses new requests until those in progress have ended, then calls Close;
// partner/router calls Shutdown, which closes the listener first.
//
// Begin reading at New.
package httpserver
