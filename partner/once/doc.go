// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package once lets a request that is marked as not to be repeated run at most
// once in the whole fleet, for package gate in 'granitehoist router'.
//
// Before an upstream gets such a request, the router binds its id by creating a
// record in the platform's store. Only one router can create it, so no lease,
// clock or view of the fleet matters: a paused router that resumes either has
// the record or has not. When the store does not say for certain that the record
// was created, the request is refused as not run. docs/design/once.md has the
// ways that were weighed.
//
// State. The records in the store are the state; a Registry has none, and a
// Binding only the record that it wrote, used by one goroutine. Records are
// never removed. The package relies on granitehoist.Store alone, on its
// compare-and-swap and on store.Swap, which reads back a write whose answer was
// lost.
//
// Begin with Registry.Bind and the rule mayBind.
//
// granitehoist-edge has no such package: package forward sends no unsafe request
// again after an attempt that may have run, and records nothing, so that a repeat
// by the caller is a request of its own there.
package once
