// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package exchange sends requests to upstreams over HTTP/1.1 and tells of each
// whether the upstream can have run it.
//
// The messages are written and read by net/http; the connections are this
// package's own. The standard library's client sends a request again on its
// own account when a reused connection breaks, closes connections at answers
// that it did not ask for, and reads an answer that belongs to an earlier
// request as if it were the one that is due. Here a request is written at most
// once, an answer is matched with its request, and a connection in doubt is
// closed.
package exchange
