// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package once lets a request that is marked as not to be repeated run at most
// once in the whole fleet.
//
// Before an upstream hears of such a request, the router binds its id by
// creating a record in the platform's store. Only one router can create it, so
// no lease, clock or view of the fleet matters: a paused router that wakes up
// either has the record or has not. When the store does not say for certain
// that the record was created, the request is refused as not run.
package once
