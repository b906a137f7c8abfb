// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package exchange sends requests to upstreams over HTTP/1.1 and reports of each
// whether the upstream may have run it.
//
// net/http writes and reads the messages; the connections are this package's
// own. The standard library's client may send a request a second time when a
// reused connection breaks, closes connections at answers that it did not ask
// for, and reads an answer that belongs to an earlier request as if it were the
// one that is due. Here a request is written at most once, an answer is matched
// with its request, and a connection in doubt is closed.
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
