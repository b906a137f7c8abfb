// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package retrybudget bounds the retries of a router, so that retries do not add to
// the load of a service that is already failing.
//
// A Budget is a token bucket in which one token allows one retry. Each request adds a
// fraction of a token, the bucket optionally refills over a time window, and each retry
// removes one token. The edge router (package forward) has one Budget per service, the
// partner router (package partner/gate) one Budget for all requests.
//
// A Budget guards its state with its own mutex and reads no clock: callers pass the
// current time. Begin reading at Budget.Take.
package retrybudget
