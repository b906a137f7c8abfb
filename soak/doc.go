// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package soak holds a test that plays seeded series of faults against real
// router processes: signals, and proxies before the store and the upstreams that
// delay, silence and reset connections, overlapping each other.
//
// CI plays a few seeds. SOAK_SEEDS=FROM-TO chooses others:
//
//	SOAK_SEEDS=1-50 go test -timeout 30m ./soak
//
// A seed that fails is printed with the logs of its processes and belongs into
// docs/FINDINGS.md.
package soak
