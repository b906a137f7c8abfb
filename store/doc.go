// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package store holds the conditional writes of 'granitehoist router' to the
// platform's key-value store.
//
// An answer of the store may be lost, and its write may take effect seconds
// later. Swap and Create settle such a write by reading the key back, so that
// their callers need not.
//
// The package owns no state and starts no goroutine. It relies on
// granitehoist.Store, which package platform implements over the store's
// protocol and package standin in memory; cmd/granitehoist hands the client in.
// Packages fleet, once, bill and orphan use it, all on the side of 'granitehoist
// router'. Begin reading at Swap.
package store
