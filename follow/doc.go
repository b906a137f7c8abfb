// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package follow keeps a copy of the keys under a prefix of the platform's
// store.
//
// A Follower lists the keys once and then waits for changes. It asks again
// after a bounded time even if the store says nothing, since a connection can
// fall silent without an error, and lists anew when the store has lost the
// history. While the store does not answer it asks the neighbours for a newer
// copy. Every key and the copy as a whole carry the store's version, and
// nothing older ever replaces something newer.
package follow
