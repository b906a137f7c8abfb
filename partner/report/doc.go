// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package report computes burn rates of the service level objectives (how fast slow
// responses, refusals and errors use up the error budget) and writes a router's
// metrics in the Prometheus text format.
//
// 'granitehoist router' counts events and merges the counts of the fleet;
// 'granitehoist report burn' prints the report. granitehoist-edge writes metrics of
// its own (package node) and has no burn-rate report.
//
// A Recorder holds a router's counts of the last day in memory, guarded by a mutex;
// they are lost with the process. It does no I/O, and callers pass the current time.
//
// Begin reading at Recorder.Add and Recorder.Rows, then BurnReport.Merge. CountsOf decides
// which results count as refusals or errors.
package report
