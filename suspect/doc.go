// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package suspect decides when a request is refused because it crashes upstreams (a query
// of death, as the field calls it).
//
// A Digest identifies a request by its content, so that every router recognises it under
// any id. A Table keeps the evidence by digest: which upstream processes crashed while the
// request may have been running there, as this router saw it (NoteCrash, NoteSuccess) and
// as others report it (Merge). Lookup returns the verdict on a request.
//
// State: a Table owns its entries and its secret. It is safe for concurrent use, makes no
// calls and takes the present time as an argument. Both programs use it: package forward
// in granitehoist-edge, whose routers share their evidence (package node), and package
// partner/gate in 'granitehoist router', where each router has its own.
//
// A request with evidence against it is held for a moment after each round of crashes, and
// refused after some. The same is done, after more rounds, with a Scope: all that a
// workspace sends on a route. Crashes that come with a loss of many upstreams make no later
// round (crashedlives.go, block.go).
//
// Begin reading at evidence in evidence.go, which has the rule, then at Table. Merge
// ignores records that no router can have sent. docs/design/suspects.md has what was
// weighed and measured.
package suspect
