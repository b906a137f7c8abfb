// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package follow maintains a copy of the keys under a prefix of the platform's store.
//
// A Follower lists the keys once and then watches for changes. Watches have a bounded
// duration, since a connection can fail silently, and the keys are listed again if the
// store no longer has the history. In a large fleet a Follower polls relays instead,
// which are other routers that follow the store. While the store is unavailable, a
// Follower queries its neighbours, which are other routers too, for a newer copy. Keys
// and copies carry the store's version, and an older version never replaces a newer one.
//
// The copy is changed only by the goroutine of Run and may be read by any goroutine. Only
// the goroutine of Run selects relays and counts the failures of the store.
//
// The package uses granitehoist.Store, and Settings.FetchUpdates to call relays and
// neighbours, which package node implements over package fleet. granitehoist-edge follows
// the configuration and the upstreams in package node. 'granitehoist router' follows the
// partners' documents in package partner/config, without relays or neighbours.
//
// Begin reading at Follower.Run. versions.go compares the versions of copies, relays.go
// selects relays and rejects stale ones, and storefailures.go counts failures of the store
// and sets the timeouts of calls to it.
package follow
