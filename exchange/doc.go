// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package exchange is an HTTP/1.1 client for upstreams that sends a request at most once
// and reports whether the upstream may have run it.
//
// It parses messages with net/http but has a connection pool of its own, because
// http.Transport may resend a request when a reused connection fails, and takes a late
// response to an earlier request for the response to the current one. This package writes
// each request at most once, checks that a response belongs to its request, and closes a
// connection whose state is unknown.
//
// In the edge router, package node creates one Pool and package forward sends each attempt
// through Pool.Do. EndToEndHeader, which removes hop-by-hop fields, is also used by the
// partner router and by package platform.
//
// A Pool guards its idle connections with a mutex. A connection in use belongs to one
// exchange: a goroutine writes the request while the caller reads the response. Reads report
// the failure of a connection even if a write was told of it first (internal/sockerror), so
// that a response which ends with its connection is whole only if the upstream closed it. TCP
// keep-alive probes and TCP_USER_TIMEOUT detect unresponsive peers; deadlines come from the
// caller's context.
//
// If dials to different upstreams fail in a row, the Pool tries a Detour through another
// router. Once that reaches one of them, the direct path counts as lost, and the Pool opens
// new connections through the Detour until a direct dial succeeds (path.go, dial.go).
//
// The decisions are pure functions: when an idle connection may be reused (reuse.go),
// whether a response belongs to the request and what a read error means (response.go), and
// when a connection must be closed (closereason.go). Begin reading at Pool.Do.
package exchange
