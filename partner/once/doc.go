// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package once runs a request that is marked as not to be repeated at most once
// across all routers of the fleet.
//
// Before such a request is sent to an upstream, the router binds its id by
// creating a record in the store. The store lets only one router create it, so
// correctness depends on no lease, clock or membership view: a paused router
// that resumes either owns the record or doesn't. If the store doesn't confirm
// that the record was created, the request is refused as not run. The
// alternatives are discussed in docs/design/once.md.
//
// A Registry is stateless; all state is in the records. A Binding keeps the
// record that it wrote last and belongs to one goroutine. Records are never
// deleted. The package needs only the compare-and-swap of granitehoist.Store;
// store.Swap reads a record back if the response to a write was lost.
//
// Package partner/gate, in 'granitehoist router', is the caller. Begin reading at
// Registry.Bind and checkBindable.
//
// granitehoist-edge has no such records. Package forward doesn't retry an unsafe
// request after an attempt that may have run. If the caller repeats the request,
// granitehoist-edge treats the repetition as a new request, which may run again.
package once
