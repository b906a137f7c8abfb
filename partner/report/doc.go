// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package report shows operators how the fleet serves: the burn of the service
// levels (how fast the allowance of slow answers, refusals and errors is used
// up) and the metrics of a router in the text form that collectors read.
//
// It runs in 'granitehoist router', which counts and adds up, and in
// 'granitehoist report burn', which prints. granitehoist-edge writes metrics of
// its own (package node) and has no burn report.
//
// State. A Recorder owns, under its lock, a router's counts of the last day;
// they are lost with the process. It makes no calls, and callers pass the time.
//
// Begin with Recorder.Add and Recorder.Rows, then Burn.Merge; the rule of what
// counts as refused or failed is CountsOf.
package report
