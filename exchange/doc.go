// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package exchange sends requests to upstreams over HTTP/1.1 and reports for each
// whether the upstream may have run it.
//
// net/http writes and reads the messages, but this package manages the connections
// itself. The standard library's client may send a request a second time when a
// reused connection breaks, closes a connection on which an unexpected answer
// arrives, and takes a late answer to an earlier request for the answer to the
// current one. This package writes a request at most once, checks that an answer
// belongs to its request, and closes a connection in doubt.
//
// The edge router granitehoist-edge runs it: package node makes one Pool, package
// forward sends each attempt through it. PassedOn is also used by the partner
// router's transport and by package platform.
//
// A Pool owns the idle connections, which its lock guards. A connection in use
// belongs to its exchange alone; one goroutine writes the request while the
// caller reads the answer. The package relies on the kernel to notice silent
// peers, and on the caller's context for deadlines.
//
// The rules: when an idle connection may be reused (reuse.go), whether an answer
// is the request's own and what a failed reading means (answer.go), when a
// connection is in doubt (doubt.go). Begin reading at Pool.Do.
package exchange
