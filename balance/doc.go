// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package balance chooses the upstream instance of each attempt among the announced
// instances.
//
// The edge router granitehoist-edge uses it: package node adds and removes instances as
// its copy of the store changes, and package forward picks an instance for each attempt
// and reports the result.
//
// A Table holds the instances and this router's observations of them, guarded by one lock.
// Nothing is persisted: a router starts without a record of loads or failures, and the
// table does not see the requests of other routers. Routers exchange which instances are
// slow (hints.go, at startup only), which are rate-limited (limitrecord.go), which are leaving
// (updates.go) and which reject requests (rejections.go). The package makes no calls and relies on its callers to keep
// announcements and evacuations current.
//
// Pick chooses the instance with the least estimated cost (cost.go) among the candidates
// (candidates.go). All routers agree on the owner of a common prompt prefix by rendezvous
// hashing (owner.go). Another instance is chosen if the owner's queue costs more than its
// cached prefix saves (prefixcache.go). Heavy prompts, whose prefill delays concurrent
// streams, avoid slow instances, which get a larger share of the requests that are not
// heavy (slow.go). Failures increase the cost of an instance. Two broken attempts without
// a success in between eject the instance, and each further one doubles the duration of
// the ejection (ejection.go). An instance whose announcement was removed is a last resort
// for a short time (removal.go).
//
// With several regions the cost includes the measured delay to an instance's region
// (locality.go), a short prefix has an owner in each region, and a region that can't serve
// its own requests spills a part of them to others (spill.go). Crossings to other zones and
// regions are reported with their reasons (crossing.go).
//
// Constraints take precedence over cost. Instances in an evacuated zone (evacuation.go),
// in a region that the request must not go to (allowedregions.go), or about to end
// (leaving.go) are never candidates. A cold instance is limited to a request rate shared
// by all routers (cold.go). An instance that sets a rate limit (ratelimit.go) gets only
// requests with a permit (permit.go), and one that asked for backoff gets none until the
// backoff ends (backoff.go). One that states how many requests it can reject gets no more
// than its routers may let it reject together (rejections.go). If all instances are deferred in this way, requests wait in
// priority order (waiting.go). While an instance of a service is rate-limited, the load
// of each instance of the service is limited (overload.go). An instance that restarts
// under its ID starts without observations (membership.go).
//
// Start reading at Table.Pick in choice.go.
package balance
