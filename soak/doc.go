// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package soak holds a test that plays seeded series of faults against real
// processes of granitehoist-edge: signals, and proxies before the store and the
// upstreams that delay, silence, mute for good and reset connections, overlapping each other. It
// judges what callers got by what the upstreams ran.
//
// Each seed has a fleet of its own, which owns its processes, stand-ins and proxies
// and ends them with the test; the fleet's lists do not change after newFleet, and
// each process, proxy and book has its own lock. The package relies on standin for
// the store and the upstreams, and on the built program for all else. No program
// runs it. Begin reading at TestSoak; judge has the promises that are checked.
//
// CI plays a few seeds. SOAK_SEEDS=FROM-TO chooses others:
//
//	SOAK_SEEDS=1-50 go test -timeout 30m ./soak
//
// A seed that fails is printed with the logs of its processes and belongs into
// docs/FINDINGS.md.
package soak
