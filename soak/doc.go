// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package soak contains fault-injection tests of granitehoist-edge processes. They inject
// overlapping faults, chosen at random from a seed: signals to processes, and proxies in
// front of the store and the upstreams that slow down, stall, blackhole or reset
// connections. They then check the responses against the executions at the upstreams.
// A store that returns from older copies of itself is played too, and so are roll-outs, which
// are checked by what reached each release.
//
// Each seed has its own fleet of processes, fakes and proxies, which end with the test. The
// lists of a fleet don't change once its faults begin; each process, proxy and record has
// its own lock. The package uses standin for the store and the upstreams, and the built
// program for the routers. Begin reading at TestSoak; fleet.check has the invariants.
//
// By default the tests run a few seeds. SOAK_SEEDS=FROM-TO selects others:
//
//	SOAK_SEEDS=1-50 go test -timeout 30m ./soak
//
// SOAK_PROCESSES sets the number of processes of a fleet, and SOAK_UPGRADE_FROM a commit
// whose program runs beside the current one, where a test says so.
//
// For a seed that fails, the test prints the logs of its processes.
package soak
