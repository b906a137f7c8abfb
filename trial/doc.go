// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package trial is an end-to-end test of the partner routers. It runs the whole system in
// one process on loopback: stand-ins, the routers of two partners, their documents and a
// mixed load. It verifies the guarantees of the routers against the executions recorded
// by the stand-ins and the responses that callers got, not the routers' own counters.
//
// A Fleet owns the stand-ins and the routers. Only Fleet.load changes the list of routers,
// under Fleet.mu, since concurrent requests read it. Each call of the load has its own
// Outcome, which is read after all calls have ended. Package partner/router provides
// the routers, package standin the stand-ins.
//
// 'granitehoist try' runs it, and the benchmark of partner/router uses a Fleet. Begin
// reading at Run, then at Verify, which checks the guarantees.
package trial
