// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package tunnel carries connections to upstreams through another router, for a router
// that has no path of its own to them.
//
// In the edge router, package node runs a Server for its neighbours, and package exchange
// opens connections with a Client while the router is partitioned from the upstreams. All
// decisions about a request stay at the router that received it; the other one copies
// bytes.
//
// The protocol is HTTP CONNECT (RFC 9110, section 9.3.6) with the id of an upstream in a
// header, so that a tunnel never leads to an address that the serving router does not know
// as an upstream. From then on the client sends plain bytes. The server sends frames
// (frame.go), which distinguish a connection that the upstream closed from one that it
// reset and from a tunnel that broke: the end of a connection may be the end of a response.
//
// A Server guards its open tunnels with a mutex. Each tunnel has two goroutines, one for
// each direction. Begin reading at Client.Dial and Server.ServeHTTP.
package tunnel
