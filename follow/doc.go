// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package follow keeps a copy of the keys under a prefix of the platform's store.
//
// A Follower lists the keys once and then waits for changes. It asks again after
// a bounded time even if the store reports nothing, since a connection can fall
// silent without an error, and lists again if the store no longer has the history.
// In a large fleet it asks relays, other routers that follow the store, instead.
// While the store fails it asks its neighbours for a newer copy. Each key and the
// copy carry the store's version, and an older version never replaces a newer one.
//
// State: a Follower owns its copy, which any goroutine may read and only the one
// that runs Run changes, under the lock of prefixCopy. The choice of a relay and
// the count of the store's failures belong to Run alone.
//
// It relies on granitehoist.Store, and for relays and neighbours on the call in
// Settings.Updates, which package node sends over package fleet.
//
// Both programs run it. granitehoist-edge follows the configuration and the
// upstreams, in package node; 'granitehoist router' follows the partners'
// documents, in package partner/config, without relays or neighbours.
//
// Begin reading at Follower.Run. The rules are in files of their own: newer.go
// decides which of two copies is newer, relayrules.go which relay is asked and when
// its copy is too old, storefailures.go when the store counts as failing and how
// long calls to it may take.
package follow
