// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package suspect decides when a request is refused because upstreams end under it.
//
// A Digest names a request by what it asks for, so that the routers recognise one that
// comes again, at any router and under any id. Under the digest a Table keeps which runs
// of upstreams ended while the request may have run there: what this router observed
// (NoteEnd, NoteAnswer), and what others told (Merge). Look returns what speaks against a
// request, and whether it is refused.
//
// State: a Table owns its entries and its secret. It is safe for concurrent use, makes no
// calls and takes the present time as an argument. Both programs use it: package forward
// in granitehoist-edge, whose routers tell each other (package node), and package
// partner/gate in 'granitehoist router', where each router knows what it observed itself.
//
// Begin reading at evidence in evidence.go, which has the rule, then at Table. Bad input
// is what Merge gets from other routers and the store: what no router can have sent is
// left out. docs/design/suspects.md tells what was weighed and measured.
package suspect
