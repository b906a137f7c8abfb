// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package origin keeps which release of a service's upstreams began each resumable stream.
// Upstreams of two releases may write different streams for the same request, so that a
// stream may go on only at the release that began it.
//
// A Table holds a Record for each stream, by the request that brought the caller its first
// event. Records do not change; one that contradicts another makes the origin unknown. A
// Registry holds the releases that may begin streams of a service: those that a router has
// registered in the store. While a service has one registered release, this is the origin
// of all its streams, and no records are needed.
//
// Both are safe for concurrent use, do no I/O and take the current time as an argument. In
// granitehoist-edge, package forward asks for the origin of a stream and package node
// shares records and registrations between routers.
//
// Begin reading at Table. The design is described in docs/design/streams.md.
package origin
