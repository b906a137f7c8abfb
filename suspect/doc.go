// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package suspect detects requests that crash the upstreams which run them (queries of
// death) and decides when to refuse them.
//
// A Digest identifies a request by its content, so that every router recognises it under
// any ID. A Table holds the evidence by digest: the upstream processes that crashed while
// the request may have been running there, as observed by this router (RecordCrash,
// RecordSuccess) and as reported by other routers (Merge). Lookup returns the verdict on
// a request.
//
// Crashes are counted in rounds. A suspect request is held for SettleTime after each round
// and refused after several. A Scope, which is all requests of a workspace on a route, is
// refused after more rounds. A mass failure, in which many upstreams crash at once, and a
// rolling failure, in which they crash one after the other, start no round beyond the first
// (recentcrashes.go, block.go).
//
// A Table owns its entries and its secret. It is safe for concurrent use, does no I/O and
// takes the current time as an argument. Two packages use it: forward in granitehoist-edge,
// where package node shares the evidence between routers, and partner/gate in 'granitehoist
// router', where each router has only its own evidence.
//
// Begin reading at evidence in evidence.go, which counts the rounds, then at Table. The
// design is described in docs/design/suspects.md.
package suspect
