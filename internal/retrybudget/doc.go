// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package retrybudget bounds how many retries a router makes, so that retries
// do not add to the load of a service that already fails.
//
// A Budget earns a part of a retry with each request, optionally refills over a
// time window, and spends one on each retry. Both the edge router (package
// forward, one Budget for each service) and the partner router (package
// partner/gate, one Budget for all requests) use it; they differ only in their
// Settings, which each router sets where it makes its budget.
//
// A Budget owns its count and guards it with its own lock. It relies on nothing
// but the Settings and the times that callers pass. Begin reading at Budget.Take.
package retrybudget
