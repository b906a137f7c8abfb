// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package balance chooses the upstream of each attempt among the instances that
// have announced themselves.
//
// The edge router granitehoist-edge runs it: package node announces and removes
// instances as its copy of the store changes, package forward picks one for each
// attempt and reports the result.
//
// A Table owns the instances and what this router observed of them; one lock
// guards all of it. Nothing of it is stored: a router that starts has no record of
// loads or failures, and the table does not see the requests of other routers. Only
// which instances are slow is passed on, to routers that start (hints.go), and which name
// a limit, to all (limitrecord.go). The package makes no calls and relies on the
// announcements and evacuations being current.
//
// The choice is the instance with the least estimated cost (cost.go) among the
// candidates (candidates.go). Requests with a common prefix have the same owner
// on every router, by rendezvous hashing (owner.go), without any messages; another
// instance is chosen when the owner's queue outweighs what its cache saves
// (prefixcache.go). Prompts whose reading holds up the streams beside them keep away
// from slow instances, and most other requests go there (slow.go). An instance that
// fails more than others costs more. One that breaks several attempts in a row is
// ejected, for a time that doubles with each further one (ejection.go). An instance
// whose announcement was removed is the last resort for a short time (removal.go).
//
// What the operators forbid goes before all of that: instances of a zone that is
// evacuated (evacuation.go) or of a region that is no home of the request (homes.go) are
// never candidates. A cold instance is one only as often as the routers together may
// send it requests (cold.go). One that names how many requests it takes from all routers
// (ratelimit.go) gets none without a permit (permit.go); where all do so requests wait, the
// most urgent first (waiting.go), and the instances beside it are kept from being overrun
// (crowding.go). An instance that starts again under its ID begins with
// nothing observed (membership.go).
//
// Begin reading at Table.Pick in choice.go.
package balance
